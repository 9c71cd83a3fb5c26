"""Counts of the faults that were in fact injected."""

from collections import Counter

from indigoworks_lab.simulation.faults.fault_kind import FaultKind


class FaultCounts:
    """How often each kind was injected, and how many faults stood at the same time."""

    def __init__(self) -> None:
        self.by_kind: Counter[str] = Counter()
        self.most_at_once = 0
        self._standing = 0

    def begin(self, kind: FaultKind) -> None:
        """Count a fault that begins."""
        self.by_kind[kind.value] += 1
        self._standing += 1
        self.most_at_once = max(self.most_at_once, self._standing)

    def end(self) -> None:
        """Note that a fault has ended."""
        self._standing -= 1
