"""Replaces witnesses that do not acknowledge records."""

from dataclasses import replace

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.exchange.process_id import ProcessId
from indigoworks.ownership.grant_replicator import GrantReplicator
from indigoworks.ownership.leadership import Leadership
from indigoworks.ownership.witness_selector import WitnessSelector
from indigoworks.ownership.witness_set import WitnessSet

CHECK_PERIOD_S = 0.1
"""Time between two checks of the witnesses."""

OVERDUE_S = 0.3
"""A witness that owes an acknowledgement for longer is replaced."""

JOIN_TIMEOUT_S = 0.3
"""Longest wait for the first acknowledgement of a new witness."""

EXCLUSION_S = 2.0
"""Time for which a replaced witness is not selected again."""


class WitnessSupervisor:
    """Keeps the leader row naming witnesses that acknowledge.

    A successor asks any one process that the row names. So a process is first sent the current
    record and acknowledges it, then a row names it; a process that a row named stays required until
    another row is in force, or until it has ended.
    """

    def __init__(
        self,
        leadership: Leadership,
        replicator: GrantReplicator,
        witnesses: WitnessSet,
        selector: WitnessSelector,
        clock: Clock,
    ) -> None:
        self._leadership = leadership
        self._replicator = replicator
        self._witnesses = witnesses
        self._selector = selector
        self._clock = clock
        self._excluded_until_s: dict[ProcessId, float] = {}

    async def run(self) -> None:
        """Check the witnesses until cancelled."""
        while True:
            await self._clock.sleep(CHECK_PERIOD_S)
            if self._leadership.may_act():
                await self._check()

    async def _check(self) -> None:
        current = frozenset(self._leadership.row.witnesses)
        self._witnesses.set_named(current)
        required = self._witnesses.required()
        ended = {each for each in required | current if self._selector.has_ended(each)}
        self._witnesses.set_ended(ended)
        self._exclude(self._witnesses.overdue(OVERDUE_S))
        selected = frozenset(self._selector.select(current, self._excluded()))
        if selected != current or required - ended - current:
            await self._replace(current, selected)

    async def _replace(self, current: frozenset[ProcessId], selected: frozenset[ProcessId]) -> None:
        new = selected - current
        if new:
            self._witnesses.set_joining(new)
            number = self._replicator.number
            await self._replicator.wait_acknowledged(new, JOIN_TIMEOUT_S)
            failed = {
                each for each in new if not self._witnesses.has_acknowledged(each, number + 1)
            }
            self._exclude(failed)
            self._witnesses.set_joining(new - failed)
            selected -= failed
        self._witnesses.add_attempted(selected)
        self._witnesses.set_joining(())
        if selected != current or self._witnesses.required() - current:
            await self._write(selected)

    async def _write(self, selected: frozenset[ProcessId]) -> None:
        is_written = await self._put_row(tuple(sorted(selected)))
        if is_written:
            before = self._witnesses.required()
            self._witnesses.clear_attempted()
            self._witnesses.set_named(self._leadership.row.witnesses)
            self._witnesses.forget(before - self._witnesses.required())
            self._replicator.request_record()
        log_message(
            message_type="witness:selected",
            epoch=self._leadership.row.epoch,
            witnesses=[each.node for each in sorted(selected)],
            is_written=is_written,
        )

    async def _put_row(self, witnesses: tuple[ProcessId, ...]) -> bool:
        async with self._leadership.row_lock:
            if not self._leadership.may_act():
                return False
            row = replace(self._leadership.row, witnesses=witnesses)
            return (await self._leadership.put_own_row(row)).is_ok()

    def _exclude(self, processes: frozenset[ProcessId] | set[ProcessId]) -> None:
        for each in processes:
            self._excluded_until_s[each] = self._clock.now() + EXCLUSION_S

    def _excluded(self) -> frozenset[ProcessId]:
        now_s = self._clock.now()
        self._excluded_until_s = {
            each: until_s for each, until_s in self._excluded_until_s.items() if until_s > now_s
        }
        return frozenset(self._excluded_until_s)
