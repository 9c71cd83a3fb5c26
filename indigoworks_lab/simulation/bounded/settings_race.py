"""Operators race through an old and a new leader while the table loses answers."""

import asyncio
import json
from typing import Any, cast

import detangle

from indigoworks.admin.settings_change import SettingsChange
from indigoworks.common.clock import LoopClock
from indigoworks.controller.control_state import ReplicatedControlState
from indigoworks.controller.settings_service import SettingsService
from indigoworks.controller.settings_table import SettingsTable
from indigoworks.settings import SettingsTree, canonical_json
from indigoworks_lab.simulation.bounded.chosen_table import ChosenTable
from indigoworks_lab.simulation.bounded.search import PromiseBroken
from indigoworks_lab.simulation.bounded.shared_log import LogOfLeader, SharedLog
from indigoworks_lab.simulation.bounded.steady_leadership import SteadyLeadership

CHOSEN_WRITES = 4
FIRST_END_S = (30.0, 0.005, 0.012, 0.3, 0.6)
"""Moments at which the first leadership ends; the second begins at once."""

SECOND_OPERATOR_AFTER_S = (0.0, 0.02, 0.5)
THIRD_OPERATOR_AFTER_S = 2.0
END_AFTER_S = 12.0


class SettingsRace:
    """Two operators at once and one later, the real settings service on both leaders."""

    def __init__(self) -> None:
        clock = LoopClock()
        self._clock = clock
        self._table = ChosenTable(CHOSEN_WRITES)
        self._states = [ReplicatedControlState(clock), ReplicatedControlState(clock)]
        self._log = SharedLog(self._states)
        self._accepted: dict[str, int] = {}
        self._refused: set[str] = set()
        self._nodes = [LogOfLeader(self._log), LogOfLeader(self._log)]
        self._leaderships = [SteadyLeadership(clock, 1), SteadyLeadership(clock, 2)]
        self._services = [self._service(0), self._service(1)]
        self._end(1)

    async def run(self) -> None:
        """Run the case to its end.

        :raises PromiseBroken: a promise about settings was broken.
        """
        ending = asyncio.ensure_future(self._change_leader(detangle.choice(FIRST_END_S)))
        tasks = [asyncio.ensure_future(service.run()) for service in self._services]
        second_after_s = detangle.choice(SECOND_OPERATOR_AFTER_S)
        await asyncio.gather(
            self._change("first", 0.0),
            self._change("second", second_after_s),
            self._change("third", THIRD_OPERATOR_AFTER_S),
        )
        await asyncio.sleep(END_AFTER_S)
        for task in (ending, *tasks):
            task.cancel()
        self._check()

    def _service(self, member: int) -> SettingsService:
        table = SettingsTable(cast(Any, self._table), 0, self._clock)
        return SettingsService(
            cast(Any, self._nodes[member]),
            self._states[member],
            cast(Any, self._leaderships[member]),
            table,
            self._clock,
        )

    def _end(self, member: int) -> None:
        self._nodes[member].is_over = True
        self._leaderships[member].is_over = True

    async def _change_leader(self, after_s: float) -> None:
        await asyncio.sleep(after_s)
        self._end(0)
        self._nodes[1].is_over = False
        self._leaderships[1].is_over = False

    async def _change(self, change_id: str, after_s: float) -> None:
        await asyncio.sleep(after_s)
        member = 0 if self._leaderships[0].may_grant() else 1
        version = self._states[member].settings.version
        tree = SettingsTree.model_validate({"groups": {change_id: {}}, "services": {"stock": {}}})
        change = SettingsChange(change_id, version, canonical_json(tree))
        answer = await self._services[member].change(change)
        if answer.is_ok():
            self._accepted[change_id] = answer.unwrap().version
        elif answer.unwrap_err().kind != "settings_outcome_unknown":
            self._refused.add(change_id)

    def _check(self) -> None:
        changes = [json.loads(value)["change_id"] for value in self._table.versions]
        for change_id, version in self._accepted.items():
            if version > len(changes) or changes[version - 1] != change_id:
                raise PromiseBroken(f"{change_id} was accepted as {version}: {changes}")
        if self._table.has_seen_no_write:
            raise PromiseBroken("no change came as far as the table")
        for change_id in self._refused:
            if change_id in changes:
                raise PromiseBroken(f"{change_id} was refused and took effect: {changes}")
        in_force = self._states[0].settings
        if in_force.version != len(changes):
            raise PromiseBroken(f"version {in_force.version} is in force: {changes}")
        if changes and in_force.change_id != changes[-1]:
            raise PromiseBroken(f"{in_force.change_id} is in force: {changes}")


async def settings_race() -> None:
    """Run one schedule of the case."""
    await SettingsRace().run()
