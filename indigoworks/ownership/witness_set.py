"""Witnesses of a leader, and what they have acknowledged."""

from collections.abc import Collection, Iterable

from indigoworks.common.clock import Clock
from indigoworks.exchange.process_id import ProcessId


class WitnessSet:
    """Tracks which processes must acknowledge a record of open grants, and which have.

    Required are the witnesses in the leader row, those that join, and those in a row that may have
    been written: a successor may ask any process that a row names. A process joins before a row
    names it, so that its record is never older than the row.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._named: frozenset[ProcessId] = frozenset()
        self._attempted: frozenset[ProcessId] = frozenset()
        self._joining: frozenset[ProcessId] = frozenset()
        self._ended: frozenset[ProcessId] = frozenset()
        self._acknowledged: dict[ProcessId, int] = {}
        self._awaited_since_s: dict[ProcessId, float] = {}

    def start_epoch(self) -> None:
        """Start an epoch, of which nothing has been acknowledged yet."""
        self._named = self._attempted = self._joining = self._ended = frozenset()
        self._acknowledged = {}
        self._awaited_since_s = {}

    def required(self) -> frozenset[ProcessId]:
        """Return the processes that must acknowledge a record."""
        return (self._named | self._attempted | self._joining) - self._ended

    def set_named(self, witnesses: Iterable[ProcessId]) -> None:
        """Set the witnesses that the newest known leader row names."""
        self._named = frozenset(witnesses)

    def add_attempted(self, witnesses: Iterable[ProcessId]) -> None:
        """Record that a row with these witnesses is about to be written."""
        self._attempted |= frozenset(witnesses)

    def clear_attempted(self) -> None:
        """Record that the newest known row is the one in force."""
        self._attempted = frozenset()

    def set_joining(self, processes: Iterable[ProcessId]) -> None:
        """Set the processes that a later row may name."""
        self._joining = frozenset(processes)

    def set_ended(self, processes: Iterable[ProcessId]) -> None:
        """Set the processes that have ended: they answer no successor."""
        self._ended = frozenset(processes)

    # ---- acknowledgements ----

    def record_sent(self, process: ProcessId) -> None:
        """Record that a new record was sent to a process."""
        self._awaited_since_s.setdefault(process, self._clock.now())

    def record_acknowledged(self, process: ProcessId, number: int, newest: int) -> None:
        """Record that a process keeps record `number`; `newest` was sent last."""
        self._acknowledged[process] = max(number, self._acknowledged.get(process, 0))
        if number == newest:
            self._awaited_since_s.pop(process, None)
        elif process in self._awaited_since_s:
            self._awaited_since_s[process] = self._clock.now()

    def have_acknowledged(self, number: int) -> bool:
        """Return whether all required processes keep record `number` or a newer one."""
        return all(self.has_acknowledged(each, number) for each in self.required())

    def has_acknowledged(self, process: ProcessId, number: int) -> bool:
        """Return whether a process keeps record `number` or a newer one."""
        return self._acknowledged.get(process, 0) >= number

    def overdue(self, limit_s: float) -> frozenset[ProcessId]:
        """Return the required processes that have owed an acknowledgement for `limit_s`."""
        now_s = self._clock.now()
        return frozenset(
            each
            for each in self.required()
            if now_s - self._awaited_since_s.get(each, now_s) >= limit_s
        )

    def forget(self, processes: Collection[ProcessId]) -> None:
        """Forget what processes that are no longer required owe."""
        for each in processes:
            self._awaited_since_s.pop(each, None)
