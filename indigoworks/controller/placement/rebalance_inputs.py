"""Inputs of a decision to move no range."""

from collections.abc import Sequence
from dataclasses import dataclass

from indigoworks.wire.control_pb2 import RangeRecord, Server


@dataclass(frozen=True)
class RebalanceInputs:
    """Inputs of one balance check of a service.

    Inputs are compared by object identity: the replicated state keeps its lists and messages until
    they change, so a deep comparison is not needed.

    :ivar records: ranges of the service.
    :ivar candidates: servers that may receive ranges.
    :ivar threshold: see `next_move`.
    """

    records: Sequence[RangeRecord]
    candidates: tuple[Server, ...]
    threshold: float

    def is_same_as(self, other: "RebalanceInputs") -> bool:
        """Return whether a check of the other inputs has the same result."""
        if self.threshold != other.threshold:
            return False
        if self.records is not other.records or len(self.candidates) != len(other.candidates):
            return False
        pairs = zip(self.candidates, other.candidates, strict=True)
        return all(own is others for own, others in pairs)
