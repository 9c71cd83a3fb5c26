"""Report of a gateway to its peers."""

import zlib
from dataclasses import dataclass
from functools import lru_cache

from indigoworks.exchange.key_sample import KeySample
from indigoworks.exchange.leader_beat import LeaderBeat
from indigoworks.exchange.server_load import ServerLoad
from indigoworks.exchange.shared_evidence import SharedEvidence
from indigoworks.exchange.shared_notice import SharedNotice
from indigoworks.exchange.suspect_record import SuspectRecord
from indigoworks.rowstore.store_version import NO_VERSION, StoreVersion


@dataclass(frozen=True, slots=True)
class PeerReport:
    """State of one gateway, as it reports it to its peers.

    :ivar sequence: grows with each report of one boot; older ones are dropped.
    :ivar epoch: epoch of the leader that it follows; 0: it knows none.
    :ivar beat_age_s: age of the newest beat of that epoch that it received itself; infinity: none.
    :ivar leader: its beat, if it leads.
    :ivar loads: load on servers with requests in flight; of a hub: with its members' loads.
    :ivar retry_count: retries it sent in the last second, over all services.
    :ivar configuration_version: version of the configuration in force there; 0: none.
    :ivar operator_row_version: version of the newest row of the operator that it has applied: its
        configuration or an evacuation.
    :ivar group_version: version of the newest row of the group that it has applied.
    :ivar hub: the gateway that aggregates this report; empty: none.
    :ivar is_joining: the hub is to list this process, but not to add up its loads yet.
    :ivar suspects: known requests under which servers crashed.
    :ivar notices: what servers asked of the sender, or of its members.
    :ivar evidence: outcomes at servers that had faults, of the sender and of its members.
    :ivar members: checksum of each gateway that is aggregated here, and its report's sequence.
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
    evidence: tuple[SharedEvidence, ...] = ()


@dataclass(frozen=True, slots=True)
class AgedReport:
    """A report, and the time in seconds since its first receiver got it."""

    report: PeerReport
    age_s: float


@lru_cache(maxsize=4096)
def node_checksum(node: str) -> int:
    """Return the 32-bit checksum that identifies a gateway among the members of a hub."""
    return zlib.crc32(node.encode())
