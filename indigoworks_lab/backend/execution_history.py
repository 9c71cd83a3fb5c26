"""Execution history of a stand-in back end."""

from collections.abc import Sequence

from indigoworks_lab.backend.execution_outcome import ExecutionOutcome
from indigoworks_lab.backend.execution_record import ExecutionRecord


class ExecutionHistory:
    """Records in the order in which they were decided; kept whole, for checkers outside."""

    def __init__(self) -> None:
        self._records: list[ExecutionRecord] = []

    def add(self, record: ExecutionRecord) -> None:
        """Append `record`."""
        self._records.append(record)

    def after(self, position: int) -> Sequence[ExecutionRecord]:
        """Return the records from `position` on; 0 gives all."""
        return tuple(self._records[position:])

    def applied(self) -> Sequence[ExecutionRecord]:
        """Return the records of requests that ran."""
        return tuple(r for r in self._records if r.outcome is ExecutionOutcome.APPLIED)

    def __len__(self) -> int:
        return len(self._records)
