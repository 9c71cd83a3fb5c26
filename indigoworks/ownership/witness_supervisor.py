"""Replaces witnesses that do not acknowledge records."""

from collections.abc import Iterable
from dataclasses import replace
from functools import partial

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.exchange.process_id import ProcessId
from indigoworks.ownership.grant_replicator import GrantReplicator
from indigoworks.ownership.leadership import Leadership
from indigoworks.ownership.witness_quorum import Configuration
from indigoworks.ownership.witness_selector import WitnessSelector
from indigoworks.ownership.witness_set import NO_WITNESSES, WitnessSet

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

    A new witness first gets records and acknowledges one. Then grants need the new configuration as
    well as the one in force, the newest record is kept by both, and a row names the new one.
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
        self._replicator.update_named()
        ended = {each for each in self._witnesses.members() if self._selector.has_ended(each)}
        if ended:
            self._witnesses.add_ended(ended)
            self._replicator.witnesses_changed()
        self._exclude(self._witnesses.overdue(OVERDUE_S))
        selected = frozenset(self._selector.select(current, self._excluded()))
        if selected != current or self._witnesses.has_doubt():
            await self._replace(current, selected)

    async def _replace(self, current: Configuration, selected: Configuration) -> None:
        selected -= await self._unresponsive(selected - current)
        if selected == current and not self._witnesses.has_doubt():
            return
        self._witnesses.set_joining(selected)
        try:
            is_kept = partial(self._witnesses.is_kept_by, selected)
            if await self._replicator.sync(is_kept, JOIN_TIMEOUT_S):
                await self._write(selected)
        finally:
            self._witnesses.set_joining(NO_WITNESSES)

    async def _unresponsive(self, new: Configuration) -> Configuration:
        """Send records to processes; returns those that acknowledge none."""
        if not new:
            return NO_WITNESSES
        self._witnesses.probed = new
        await self._replicator.wait_acknowledged(new, JOIN_TIMEOUT_S)
        self._witnesses.probed = NO_WITNESSES
        number = self._replicator.number
        failed = frozenset(
            each for each in new if not self._witnesses.has_acknowledged(each, max(1, number - 1))
        )
        self._exclude(failed)
        return failed

    async def _write(self, selected: Configuration) -> None:
        self._witnesses.add_attempted(selected)
        is_written = await self._put_row(tuple(sorted(selected)))
        if is_written:
            self._witnesses.clear_attempted()
            self._replicator.update_named()
            self._witnesses.forget_others()
            self._replicator.witnesses_changed()
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

    def _exclude(self, processes: Iterable[ProcessId]) -> None:
        for each in processes:
            self._excluded_until_s[each] = self._clock.now() + EXCLUSION_S

    def _excluded(self) -> frozenset[ProcessId]:
        now_s = self._clock.now()
        self._excluded_until_s = {
            each: until_s for each, until_s in self._excluded_until_s.items() if until_s > now_s
        }
        return frozenset(self._excluded_until_s)
