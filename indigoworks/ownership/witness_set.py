"""Witnesses of a leader, and what they have acknowledged."""

from collections.abc import Iterable

from indigoworks.common.clock import Clock
from indigoworks.exchange.process_id import ProcessId
from indigoworks.ownership.witness_quorum import Configuration, is_read_by_any_successor

NO_WITNESSES: Configuration = frozenset()


class WitnessSet:
    """Tracks which processes are witnesses, and which records they have acknowledged.

    A successor goes by the configuration in the leader row that it replaces. So a record has to be
    kept by enough witnesses of each configuration that may be in force: that of the newest known
    row, those of rows that may have been written, and the one that the next row is to name.

    :ivar probed: processes that get records, and have not acknowledged any yet.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.probed = NO_WITNESSES
        self._named = NO_WITNESSES
        self._attempted: frozenset[Configuration] = frozenset()
        self._joining = NO_WITNESSES
        self._ended = NO_WITNESSES
        self._acknowledged: dict[ProcessId, int] = {}
        self._awaited_since_s: dict[ProcessId, float] = {}

    # ---- configurations ----

    def start_epoch(self) -> None:
        """Start an epoch, of which nothing has been acknowledged yet."""
        self.probed = self._named = self._joining = self._ended = NO_WITNESSES
        self._attempted = frozenset()
        self._acknowledged = {}
        self._awaited_since_s = {}

    def set_named(self, witnesses: Iterable[ProcessId]) -> None:
        """Set the configuration of the newest known leader row."""
        self._named = frozenset(witnesses)

    def set_joining(self, configuration: Configuration) -> None:
        """Set the configuration that the next row is to name; empty: none."""
        self._joining = configuration

    def add_attempted(self, configuration: Configuration) -> None:
        """Record that a row with this configuration is about to be written."""
        self._attempted |= {configuration}

    def clear_attempted(self) -> None:
        """Record that the newest known row is the one in force."""
        self._attempted = frozenset()

    def has_doubt(self) -> bool:
        """Return whether a row other than the newest known one may be in force."""
        return bool(self._attempted - {self._named})

    def add_ended(self, processes: Iterable[ProcessId]) -> None:
        """Record that processes have ended: they answer no successor."""
        self._ended |= frozenset(processes)

    def members(self) -> frozenset[ProcessId]:
        """Return the witnesses of all configurations that may be in force, or come to be."""
        return frozenset().union(*self._configurations()) - self._ended

    def recipients(self) -> frozenset[ProcessId]:
        """Return the processes that get records."""
        return self.members() | self.probed

    def _configurations(self) -> frozenset[Configuration]:
        return self._attempted | {self._named, self._joining}

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

    def is_kept(self, number: int) -> bool:
        """Return whether any successor gets record `number`, or a newer one.

        Without witnesses it is: a successor then expects that this process may have sent anything.
        """
        return all(self.is_kept_by(each, number) for each in self._configurations())

    def is_kept_by(self, configuration: Configuration, number: int) -> bool:
        """Return whether a successor that goes by a configuration gets record `number`."""
        keepers = {each for each, known in self._acknowledged.items() if known >= number}
        return not configuration or is_read_by_any_successor(configuration, keepers, self._ended)

    def is_kept_by_all(self, number: int) -> bool:
        """Return whether every recipient keeps record `number`, or a newer one."""
        return all(self.has_acknowledged(each, number) for each in self.recipients())

    def has_acknowledged(self, process: ProcessId, number: int) -> bool:
        """Return whether a process keeps record `number` or a newer one."""
        return self._acknowledged.get(process, 0) >= number

    def overdue(self, limit_s: float) -> frozenset[ProcessId]:
        """Return the witnesses that have owed an acknowledgement for `limit_s`."""
        now_s = self._clock.now()
        return frozenset(
            each
            for each in self.members()
            if now_s - self._awaited_since_s.get(each, now_s) >= limit_s
        )

    def forget_others(self) -> None:
        """Forget what processes owe that get no records any more."""
        recipients = self.recipients()
        self._awaited_since_s = {
            each: at_s for each, at_s in self._awaited_since_s.items() if each in recipients
        }
