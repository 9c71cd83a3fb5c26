"""Steps on a feed whose backlog takes longer to come than the patience of its lag watch."""

import asyncio

from behave import given, then, when
from result import Err, Ok
from store_versions import at

from indigoworks.common.clock import LoopClock
from indigoworks.exchange.lag_monitor import LagMonitor
from indigoworks.rowstore.errors import EraEnded, StoreRefused
from indigoworks.rowstore.row import Row
from indigoworks.rowstore.rows import Rows
from indigoworks.rowstore.table_follower import MAX_RETRY_DELAY_S, TableFollower
from indigoworks.rowstore.table_part import UNDIVIDED
from indigoworks_lab.simulation.core.manual_clock import ManualClock

FIRST = 10


class StepsClock:
    """A clock for the lag watch, moved by the steps."""

    def __init__(self):
        self.at_s = 0.0

    def now(self):
        return self.at_s


class SlowStore:
    """Sends each version that is asked for in one step; a whole reading is the newest alone."""

    def __init__(self, newest):
        self.newest = newest
        self.has_begun = False
        self.step = asyncio.Semaphore(0)

    async def read(self, table, part):
        if self.has_begun:
            await self.step.acquire()
            return Ok(self._rows(self.newest, self.newest))
        self.has_begun = True
        return Ok(self._rows(FIRST, FIRST))

    async def follow(self, table, after, wait_s):
        for _ in range(after.counter, self.newest):
            await self.step.acquire()
        if after == at(self.newest):
            await asyncio.Event().wait()
        return Ok(self._rows(after.counter + 1, self.newest))

    def _rows(self, first, last):
        rows = [Row("op", "", "config", b"", at(version)) for version in range(first, last + 1)]
        return Rows(tuple(rows), at(last), 0.0)


@given(
    "a gateway feed of configurations that is {count:d} versions behind, each a step of transfer"
)
def step_behind(context, count):
    async def make():
        context.lagging_store = SlowStore(FIRST + count)
        context.lagging_versions = [0]
        take = lambda rows: context.lagging_versions.extend(row.version.counter for row in rows)  # noqa: E731
        context.lagging_feed = TableFollower(
            context.lagging_store, "op", lambda: UNDIVIDED, lambda: 1.0, LoopClock(), take, take
        )

    context.run_async(make())


@when("the gateway's lag watch asks anew after each {steps:d} steps, {times:d} times")
def step_asks_anew(context, steps, times):
    clock = StepsClock()
    asked = []

    def request_reread():
        asked.append(clock.at_s)
        context.lagging_feed.request_reread()

    watch = LagMonitor(
        "configuration", lambda: max(context.lagging_versions), request_reread, clock
    )

    async def run():
        following = asyncio.ensure_future(context.lagging_feed.run())
        await settle()
        for _ in range(times):
            for _ in range(steps):
                context.lagging_store.step.release()
                await settle()
            if max(context.lagging_versions) < context.lagging_store.newest:
                before = len(asked)
                while len(asked) == before:
                    clock.at_s += 0.1
                    watch.record_version("gw-2", context.lagging_store.newest)
                await settle()
        following.cancel()

    context.run_async(run())


async def settle():
    """Let every task go on as far as it can."""
    for _ in range(20):
        await asyncio.sleep(0)


class DoubtedStore:
    """Its feed and each whole reading after the first answer when a step says so."""

    def __init__(self):
        self.feeds = []
        self.readings = []

    async def read(self, table, part):
        if not self.readings:
            self.readings.append(None)
            return Ok(configurations(FIRST))
        return await self._asked(self.readings)

    async def follow(self, table, after, wait_s):
        return await self._asked(self.feeds)

    async def _asked(self, calls):
        calls.append(asyncio.get_running_loop().create_future())
        return await calls[-1]


def configurations(version):
    """Return the answer that holds the configuration of `version`."""
    return Rows((Row("op", "", "config", b"", at(version)),), at(version), 0.0)


@given("a gateway feed of configurations that waits for an answer")
def step_waiting(context):
    async def make():
        store = context.doubted_store = DoubtedStore()
        context.lagging_versions = []
        take = lambda rows: context.lagging_versions.extend(row.version.counter for row in rows)  # noqa: E731
        context.lagging_clock = ManualClock()
        context.doubted_feed = TableFollower(
            store, "op", lambda: UNDIVIDED, lambda: 1.0, context.lagging_clock, take, take
        )
        context.doubted_task = asyncio.ensure_future(context.doubted_feed.run())
        await settle()
        assert len(store.feeds) == 1

    context.run_async(make())


@when("the gateway feed is doubted {times:d} times")
def step_doubted(context, times):
    async def doubt():
        for _ in range(times):
            context.doubted_feed.request_reread()
            await settle()

    context.run_async(doubt())


@when("the first answer of the doubted gateway feed comes with version {version:d}")
def step_feed_answers(context, version):
    context.run_async(answer(context.doubted_store.feeds[0], Ok(configurations(version))))


@when("the whole reading of the doubted gateway feed comes with version {version:d}")
def step_whole_answers(context, version):
    context.run_async(answer(context.doubted_store.readings[-1], Ok(configurations(version))))


@when("the store refuses the whole reading of the doubted gateway feed")
def step_whole_refused(context):
    async def refuse():
        await answer(context.doubted_store.readings[-1], Err(StoreRefused("", "")))
        await context.lagging_clock.advance(MAX_RETRY_DELAY_S)
        await settle()

    context.run_async(refuse())


async def answer(call, result):
    """Answer a call unless it was given up."""
    if not call.done():
        call.set_result(result)
    await settle()


@then("the doubted gateway feed has taken the versions {versions}")
def step_taken(context, versions):
    taken = [FIRST, *(int(each) for each in versions.split(", "))]
    assert context.lagging_versions == taken, context.lagging_versions


@then("the doubted gateway feed has asked for {count:d} whole reading beside the first")
def step_readings(context, count):
    assert len(context.doubted_store.readings) == 1 + count, context.doubted_store.readings


@then("the gateway feed of configurations has the newest version")
def step_newest(context):
    assert max(context.lagging_versions) == context.lagging_store.newest, context.lagging_versions


class EarlierEraStore:
    """Answers every call in an era that has ended; `calls` counts them."""

    def __init__(self, clock):
        self.calls = 0
        self.clock = clock

    async def read(self, table, part):
        self.calls += 1
        await self.clock.sleep(0.005)
        return Err(EraEnded("An earlier era.", "Read again."))


@given("a gateway feed of configurations whose store answers in an earlier era")
def step_earlier_era(context):
    async def make():
        context.lagging_clock = ManualClock()
        context.era_store = EarlierEraStore(context.lagging_clock)
        context.era_feed = TableFollower(
            context.era_store,
            "op",
            lambda: UNDIVIDED,
            lambda: 1.0,
            context.lagging_clock,
            lambda rows: None,
            lambda rows: None,
        )
        context.era_task = asyncio.ensure_future(context.era_feed.run())

    context.run_async(make())


@when("{duration_s:g} s pass for the gateway feed")
def step_feed_time(context, duration_s):
    async def run():
        for _ in range(round(duration_s / 0.005)):
            await context.lagging_clock.advance(0.005)
            assert context.era_store.calls < 1000

    context.run_async(run())


@then("the store of the gateway feed was asked at most {most:d} times")
def step_asked_at_most(context, most):
    assert 2 <= context.era_store.calls <= most, context.era_store.calls
