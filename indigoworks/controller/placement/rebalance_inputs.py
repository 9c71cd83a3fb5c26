"""What a decision to move nothing was based on."""

from collections.abc import Sequence
from dataclasses import dataclass

from indigoworks.wire.control_pb2 import RangeRecord, Server


@dataclass(frozen=True)
class RebalanceInputs:
    """The facts that one look at a service's balance uses.

    Two looks are the same when they hold the very same objects: the state keeps its lists and
    messages until they change, so nothing need be compared in depth.

    :ivar records: ranges of the service.
    :ivar candidates: servers that may get ranges.
    :ivar threshold: see `next_move`.
    """

    records: Sequence[RangeRecord]
    candidates: tuple[Server, ...]
    threshold: float

    def is_same_as(self, other: "RebalanceInputs") -> bool:
        """Tell whether the other look comes to the same end."""
        if self.threshold != other.threshold:
            return False
        if self.records is not other.records or len(self.candidates) != len(other.candidates):
            return False
        pairs = zip(self.candidates, other.candidates, strict=True)
        return all(mine is theirs for mine, theirs in pairs)
