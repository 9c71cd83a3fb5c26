"""Evidence on a server as gateways report it to each other."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from indigoworks.exchange.server_evidence import ServerEvidence

MAX_SHARED = 32
"""Largest number of entries in a report, at up to 40 bytes each, so that the report stays below the
1.5 KB of a packet."""


@dataclass(frozen=True, slots=True)
class SharedEvidence:
    """What one gateway saw of a server since a fault.

    :ivar server: checksum of the server's id.
    :ivar teller: checksum of the gateway that saw it; reports pass entries on unchanged.
    :ivar age_s: time since its newest fault, or if there is none since it began to count.
    """

    server: int
    teller: int
    age_s: float
    evidence: ServerEvidence

    def aged(self, age_s: float) -> "SharedEvidence":
        """Return the same entry, older by `age_s`."""
        return replace(self, age_s=self.age_s + age_s)


def merge_shared(entries: Iterable[SharedEvidence]) -> tuple[SharedEvidence, ...]:
    """Return the newest entry of each teller and server, those with faults first."""
    newest: dict[tuple[int, int], SharedEvidence] = {}
    for each in entries:
        name = (each.teller, each.server)
        known = newest.get(name)
        if known is None or each.age_s < known.age_s:
            newest[name] = each
    ordered = sorted(newest.values(), key=lambda each: (-each.evidence.faults, each.age_s))
    return tuple(ordered[:MAX_SHARED])
