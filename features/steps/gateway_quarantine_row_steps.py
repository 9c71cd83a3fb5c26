"""Steps on verdicts in rows of the store."""

import asyncio

from behave import given, then, when
from gateway_quarantine_steps import content
from result import Ok
from store_versions import at

from indigoworks.ownership.control_group import CONTROL_TABLE, ControlGroup, part_of
from indigoworks.quarantine.quarantine import Quarantine
from indigoworks.quarantine.quarantine_rows import ROW_PREFIX, QuarantineRows
from indigoworks.quarantine.suspect import CRASH_LIMIT
from indigoworks.rowstore.store_health import StoreHealth
from indigoworks_lab.simulation.core.manual_clock import ManualClock

ENDS_S = 1.5
"""Time between two ends: ends of one second count as one."""


class WrittenRows:
    """Takes every transaction; `parts` names where each key was written."""

    def __init__(self):
        self.parts = []

    async def commit(self, transaction):
        self.parts += [(transaction.part, put.key) for put in transaction.puts]
        return Ok(at(len(self.parts), transaction.era))


@given("a gateway quarantine whose verdicts go to rows of the store")
def step_quarantine(context):
    async def make():
        clock = context.row_clock = ManualClock()
        health = context.row_health = StoreHealth(clock)
        health.eras.record_era(0)
        context.row_store = WrittenRows()
        context.row_quarantine = Quarantine(clock)
        rows = QuarantineRows(
            context.row_quarantine,
            context.row_store,
            health,
            CONTROL_TABLE,
            ControlGroup(health.eras).transaction,
            clock,
            lambda: False,
        )
        context.row_quarantine.on_status_change = rows.schedule_write
        context.row_task = asyncio.ensure_future(rows.run())

    context.run_async(make())


@when("three servers end under a request of that quarantine")
def step_ends(context):
    async def run():
        quarantine, clock = context.row_quarantine, context.row_clock
        for number in range(CRASH_LIMIT):
            await clock.advance(ENDS_S)
            windows = quarantine.known_windows(content())
            quarantine.record_crash(content(), "try", f"s{number}", clock.now(), windows)
        await clock.advance(ENDS_S)

    context.run_async(run())


@when("the store comes back from a copy without that row")
def step_comes_back(context):
    async def run():
        context.row_store.parts.clear()
        context.row_health.eras.record_era(1)
        await context.row_clock.advance(ENDS_S)

    context.run_async(run())


@then("the store holds the verdict in the part of era {era:d}")
def step_holds(context, era):
    written = context.row_store.parts
    assert written, "nothing was written"
    assert {part for part, _ in written} == {part_of(era)}, written
    assert all(key.startswith(ROW_PREFIX) for _, key in written), written
