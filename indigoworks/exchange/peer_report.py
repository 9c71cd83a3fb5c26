"""What a gateway tells its peers."""

import zlib
from dataclasses import dataclass
from functools import lru_cache

from indigoworks.exchange.key_sample import KeySample
from indigoworks.exchange.leader_beat import LeaderBeat
from indigoworks.exchange.server_load import ServerLoad
from indigoworks.exchange.shared_notice import SharedNotice
from indigoworks.exchange.suspect_record import SuspectRecord
from indigoworks.rowstore.store_version import NO_VERSION, StoreVersion


@dataclass(frozen=True, slots=True)
class PeerReport:
    """What one gateway tells its peers.

    :ivar sequence: grows with each report of one boot; older ones are dropped.
    :ivar epoch: of the leader that it follows; 0 where it knows none.
    :ivar beat_age_s: age of the newest beat of that epoch that it heard itself; infinity: none.
    :ivar leader: where it leads.
    :ivar loads: of all servers with requests in flight; of a hub: its own and those of its members.
    :ivar retry_count: repeats it sent in the last second, by all services together.
    :ivar configuration_version: version of the configuration in force there; 0: none.
    :ivar operator_row_version: version of the newest row of the operator that it has applied: its
        configuration or an evacuation.
    :ivar group_version: version of the newest row of the group that it has applied.
    :ivar hub: the gateway that sums this report up; empty: none.
    :ivar is_joining: the hub is to list this process, and to leave its loads out of the sums yet.
    :ivar suspects: requests under which servers ended, of those that the sender knows.
    :ivar notices: what servers asked the sender for, or those whom it sums up.
    :ivar members: checksum of each gateway that is summed up here, and the sequence of its report.
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
    group_version: StoreVersion = NO_VERSION
    hub: str = ""
    is_joining: bool = False
    members: tuple[tuple[int, int], ...] = ()
    operator_row_version: StoreVersion = NO_VERSION
    suspects: tuple[SuspectRecord, ...] = ()
    notices: tuple[SharedNotice, ...] = ()


@dataclass(frozen=True, slots=True)
class AgedReport:
    """A report and the time since it arrived where it was received first, in seconds."""

    report: PeerReport
    age_s: float


@lru_cache(maxsize=4096)
def node_checksum(node: str) -> int:
    """Return the 32 bits that stand for a gateway among the members of a hub."""
    return zlib.crc32(node.encode())
