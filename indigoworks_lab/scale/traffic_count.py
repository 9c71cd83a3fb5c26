"""Messages and bytes of hollow members."""

from collections.abc import Mapping
from dataclasses import asdict, dataclass


@dataclass
class TrafficCount:
    """Sums over the hollow members of one process, without TCP and IP headers.

    :ivar exchanges: requests that were answered.
    :ivar failures: requests that were not.
    :ivar bytes_to_member: bytes that the members received.
    :ivar bytes_from_member: bytes that the members sent.
    :ivar snapshots: whole views among the answers.
    :ivar deltas: deltas of views among the answers.
    :ivar largest_answer: bytes of the largest answer; not a sum.
    """

    exchanges: int = 0
    failures: int = 0
    bytes_to_member: int = 0
    bytes_from_member: int = 0
    snapshots: int = 0
    deltas: int = 0
    largest_answer: int = 0

    def to_json(self) -> dict[str, int]:
        """Return the sums by name."""
        return asdict(self)

    def add(self, counts: Mapping[str, int]) -> None:
        """Add the sums of another process."""
        largest = max(self.largest_answer, counts["largest_answer"])
        for name, value in counts.items():
            setattr(self, name, getattr(self, name) + value)
        self.largest_answer = largest
