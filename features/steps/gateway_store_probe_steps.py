"""Steps on a store that turns one gateway away, on a clock moved by hand."""

import asyncio

from behave import given, then, when
from result import Err, Ok
from store_versions import at

from indigoworks.exchange.peer_directory import DIRECT_GATEWAYS
from indigoworks.rowstore.errors import StoreRefused
from indigoworks.rowstore.probing_store import ProbingStore
from indigoworks.rowstore.rows import Rows
from indigoworks.rowstore.table_follower import TableFollower
from indigoworks.rowstore.table_part import UNDIVIDED
from indigoworks.rowstore.transaction import Transaction
from indigoworks_lab.simulation.core.manual_clock import ManualClock

CALL_S = 0.004


class RefusingStore:
    """A store that refuses while it is told to; it notes its calls."""

    def __init__(self, clock):
        self.clock = clock
        self.is_refusing = False
        self.calls_while_refusing = 0
        self.at_work = 0
        self.first_answer_s = 0.0
        self.most_at_work = 0
        self.answered_tables = set()
        self.transactions = 0

    async def read(self, table, part):
        return await self._answer(table, 0.0)

    async def follow(self, table, after, wait_s):
        return await self._answer(table, wait_s)

    async def commit(self, transaction):
        self.transactions += 1
        return Ok(at(1))

    async def _answer(self, table, wait_s):
        if not self.is_refusing:
            self.answered_tables.add(table)
            transfer_s, self.first_answer_s = self.first_answer_s, 0.0
            self.at_work += 1
            try:
                await self.clock.sleep(max(wait_s, CALL_S) + transfer_s)
            finally:
                self.at_work -= 1
            return Ok(Rows((), at(1), self.clock.now()))
        self.calls_while_refusing += 1
        self.at_work += 1
        self.most_at_work = max(self.most_at_work, self.at_work)
        try:
            await self.clock.sleep(CALL_S)
        finally:
            self.at_work -= 1
        return Err(StoreRefused("refused", "wait"))


@given("a probing store of {gateways:d} gateways that follow {tables:d} tables")
def step_store(context, gateways, tables):
    clock = context.probe_clock = ManualClock()
    refusing = context.probe_refusing = RefusingStore(clock)

    async def make():
        store = context.probe_store = ProbingStore(
            refusing,
            lambda: gateways,
            lambda: gateways > DIRECT_GATEWAYS,
            context.random,
            clock,
        )
        context.probe_followers = [
            TableFollower(store, f"t{number}", lambda: UNDIVIDED, lambda: 2.0, clock, _pass, _pass)
            for number in range(tables)
        ]
        context.probe_tasks = [
            asyncio.ensure_future(each.run()) for each in context.probe_followers
        ]
        await clock.advance(3.0)

    context.run_async(make())


@when("the probing store is turned away for {duration_s:g} s")
def step_turned_away(context, duration_s):
    async def run():
        # Calls that were under way are answered: what counts begins after them.
        context.probe_refusing.is_refusing = True
        await context.probe_clock.advance(2.5)
        context.probe_refusing.calls_while_refusing = 0
        context.probe_refusing.most_at_work = 0
        for _ in range(round(duration_s / 0.5)):
            for follower in context.probe_followers:
                follower.request_reread()
            await context.probe_clock.advance(0.5)

    context.run_async(run())


@when("the probing store answers again for {duration_s:g} s")
def step_answers(context, duration_s):
    async def run():
        context.probe_refusing.is_refusing = False
        context.probe_refusing.answered_tables.clear()
        await context.probe_clock.advance(duration_s)

    context.run_async(run())


@when(
    "the probing store answers again for {duration_s:g} s, with a first answer that takes "
    "{answer_s:g} s"
)
def step_answers_slowly(context, duration_s, answer_s):
    context.probe_refusing.first_answer_s = answer_s
    step_answers(context, duration_s)


@when("the readers of the probing store are cancelled")
def step_cancelled(context):
    async def run():
        assert context.probe_refusing.at_work > 0
        for task in context.probe_tasks:
            task.cancel()
        await asyncio.wait(context.probe_tasks)
        await context.probe_clock.advance(0.0)

    context.run_async(run())


@then("no call is under way at the probing store")
def step_none_at_work(context):
    assert context.probe_refusing.at_work == 0, context.probe_refusing.at_work


@then("at most {count:d} calls went to the probing store meanwhile")
def step_at_most(context, count):
    assert context.probe_refusing.calls_while_refusing <= count, (
        context.probe_refusing.calls_while_refusing
    )


@then("at least {count:d} calls went to the probing store meanwhile")
def step_at_least(context, count):
    assert context.probe_refusing.calls_while_refusing >= count, (
        context.probe_refusing.calls_while_refusing
    )


@then("never two of them at the same time")
def step_one_at_a_time(context):
    assert context.probe_refusing.most_at_work == 1, context.probe_refusing.most_at_work


@then("each of the {count:d} tables was read from the probing store")
def step_each_read(context, count):
    assert len(context.probe_refusing.answered_tables) == count


@then("a transaction reaches the probing store at once")
def step_transaction(context):
    async def run():
        before = context.probe_refusing.transactions
        await context.probe_store.commit(Transaction(0, "p", (), ()))
        assert context.probe_refusing.transactions == before + 1

    context.run_async(run())


def _pass(rows):
    """Take rows."""
