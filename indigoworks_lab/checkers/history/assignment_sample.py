"""The committed assignments as the authoritative leader held them at one moment."""

from dataclasses import dataclass


@dataclass(frozen=True)
class CommittedRange:
    """One committed range with its owner (empty: nobody) and fencing token."""

    service: str
    start: int
    end: int
    owner: str
    owner_incarnation: str
    token: int


@dataclass(frozen=True)
class AssignmentSample:
    """All ranges of the leader's own generation, read while it held its leader lease."""

    at_s: float
    leader: str
    generation: int
    ranges: tuple[CommittedRange, ...]
