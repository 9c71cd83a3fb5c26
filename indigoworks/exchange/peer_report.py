"""The content of one datagram."""

from dataclasses import dataclass

from indigoworks.exchange.key_sample import KeySample
from indigoworks.exchange.leader_beat import LeaderBeat
from indigoworks.exchange.server_load import ServerLoad


@dataclass(frozen=True, slots=True)
class PeerReport:
    """What one gateway tells its peers.

    :ivar sequence: grows with each report of one boot; older ones are dropped.
    :ivar epoch: of the leader that it follows; 0 where it knows none.
    :ivar beat_age_s: age of the newest beat of that epoch that it heard itself; infinity: none.
    :ivar leader: where it leads.
    :ivar loads: of all servers with requests in flight.
    :ivar retry_count: repeats it sent in the last second, by all services together.
    :ivar configuration_version: version of the configuration in force there; 0: none.
    :ivar group_version: version of the newest row of the group that it has applied.
    """

    node: str
    boot: str
    sequence: int
    epoch: int
    beat_age_s: float
    leader: LeaderBeat | None
    loads: tuple[ServerLoad, ...]
    samples: tuple[KeySample, ...]
    retry_count: int
    configuration_version: int = 0
    group_version: int = 0
