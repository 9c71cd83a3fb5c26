"""Steps on a feed that leaves a pause after rows have come."""

import asyncio
from itertools import pairwise

from behave import given, then, when
from result import Ok
from store_versions import at

from indigoworks.rowstore.row import Row
from indigoworks.rowstore.rows import Rows
from indigoworks.rowstore.table_follower import TableFollower
from indigoworks.rowstore.table_part import UNDIVIDED
from indigoworks_lab.simulation.core.manual_clock import ManualClock

ROW_PERIOD_S = 0.01


class StoreOfManyRows:
    """A store that makes a version each ROW_PERIOD_S; it notes what it was asked, and when."""

    def __init__(self, clock):
        self.clock = clock
        self.start_s = clock.now()
        self.calls = []

    def newest(self):
        return 1 + round((self.clock.now() - self.start_s) / ROW_PERIOD_S)

    async def read(self, table, part):
        self.calls.append(("read", self.clock.now(), 0.0))
        return Ok(Rows((), at(self.newest()), 0.0))

    async def follow(self, table, after, wait_s):
        self.calls.append(("follow", self.clock.now(), wait_s))
        if at(self.newest()) == after:
            await self.clock.sleep(ROW_PERIOD_S)
        rows = [
            Row(table, "", str(each), b"", at(each))
            for each in range(after.counter + 1, self.newest() + 1)
        ]
        return Ok(Rows(tuple(rows), at(self.newest()), 0.0))

    def follows(self):
        return [each for each in self.calls if each[0] == "follow"]


@given(
    "a paced gateway feed of {pace:g} s that waits for {wait:g} s, with a new row each {period:g} s"
)
def step_paced(context, pace, wait, period):
    assert period == ROW_PERIOD_S
    clock = context.paced_clock = ManualClock()
    store = context.paced_store = StoreOfManyRows(clock)
    context.paced_rows = []

    async def make():
        take = lambda rows: context.paced_rows.extend(row.version.counter for row in rows)  # noqa: E731
        context.paced_feed = TableFollower(
            store,
            "servers",
            lambda: UNDIVIDED,
            lambda: wait,
            clock,
            take,
            take,
            pace_s=lambda: pace,
        )
        context.paced_task = asyncio.ensure_future(context.paced_feed.run())
        await clock.advance(2 * ROW_PERIOD_S)

    context.run_async(make())
    assert context.paced_rows


@when("{duration:g} s of the paced gateway feed pass")
def step_pass(context, duration):
    context.run_async(context.paced_clock.advance(duration))


@when("the paced gateway feed is doubted in its pause")
def step_doubted_in_pause(context):
    async def doubt():
        context.paced_feed.request_reread()
        await context.paced_clock.advance(0.0)

    context.paced_calls_before = len(context.paced_store.calls)
    context.run_async(doubt())


@then(
    "the paced gateway feed has asked at most {count:d} times and has every row but the last "
    "{late:g} s"
)
def step_few_calls(context, count, late):
    store = context.paced_store
    assert len(store.follows()) <= count, store.calls
    known = context.paced_rows
    assert known == list(range(known[0], known[-1] + 1)), known
    assert known[-1] >= store.newest() - round(late / ROW_PERIOD_S), (known[-1], store.newest())


@then(
    "each call of the paced gateway feed ended its wait at most {wait:g} s after the rows before it"
)
def step_wait(context, wait):
    follows = context.paced_store.follows()
    assert len(follows) > 2
    for before, after in pairwise(follows):
        came_s = before[1] + ROW_PERIOD_S
        assert after[1] + after[2] <= came_s + wait + 1e-6, (before, after)


@then("the paced gateway feed has read whole before its next call")
def step_read_in_pause(context):
    added = context.paced_store.calls[context.paced_calls_before :]
    assert [each[0] for each in added][:1] == ["read"], added
