"""Steps on reads and writes that were prepared in an era of the store that has ended."""

import asyncio
from random import Random

from behave import given, then, when
from platform_folder_store_stand_in import StoreStandIn
from store_versions import at

# isort: split
from http_row_store import HttpRowStore
from result import Err, Ok

from indigoworks.backend.http_sender import HttpSender
from indigoworks.common.clock import LoopClock
from indigoworks.exchange.peer_directory import DIRECT_GATEWAYS
from indigoworks.ownership.control_group import CONTROL_TABLE, ControlGroup, part_of
from indigoworks.ownership.leader_row import LEADER_KEY
from indigoworks.rowstore.errors import EraEnded, StoreUnreachable
from indigoworks.rowstore.probing_store import ProbingStore
from indigoworks.rowstore.row import Row
from indigoworks.rowstore.rows import Rows
from indigoworks.rowstore.store_health import StoreHealth
from indigoworks.rowstore.table_follower import TableFollower
from indigoworks.rowstore.transaction import ExpectedVersion, RowPut, Transaction
from indigoworks_lab.control_simulation.control_plan import ControlPlan
from indigoworks_lab.control_simulation.drawn_fault import DrawnFault
from indigoworks_lab.control_simulation.return_faults import RETURN, faults_beside_return
from indigoworks_lab.control_simulation.run_control_seed import run_control_seed

REFUSED = "503"
COPY_S = 1.0
COPY_AGE_S = 1.0
LARGE_GROUP = DIRECT_GATEWAYS + 1


class ConnectedStore:
    """The platform's store as a gateway of a large group uses it, against a stand-in."""

    def __init__(self):
        clock = LoopClock()
        self.stand_in = StoreStandIn(100)
        self.health = StoreHealth(clock)
        self.group = ControlGroup(self.health.eras)
        sender = HttpSender(clock, 4)
        self.direct = HttpRowStore(self.stand_in.start(), sender, self.health, clock)
        self.paced = ProbingStore(self.direct, lambda: LARGE_GROUP, lambda: True, Random(1), clock)
        self.stand_in.put(CONTROL_TABLE, part_of(0), LEADER_KEY, b"{}")

    async def read_group(self):
        return await self.paced.read(CONTROL_TABLE, self.group.part)


@given("a store that refuses calls, and a read of the group's rows that waits to probe it")
def step_waiting_read(context):
    async def run():
        world = context.era_world = ConnectedStore()
        assert (await world.read_group()).is_ok()
        world.stand_in.troubles.append(REFUSED)
        assert (await world.read_group()).is_err()
        world.stand_in.calls.clear()
        context.era_read = asyncio.ensure_future(world.read_group())
        await asyncio.sleep(0)

    context.run_async(run())


@when("the store comes back from a copy, and a peer tells of the new era before the probe is sent")
def step_era_begins(context):
    async def run():
        world = context.era_world
        assert not world.stand_in.calls
        world.stand_in.come_back(world.stand_in.copy())
        world.health.eras.record_era(1, "a peer")
        context.era_result = await context.era_read

    context.run_async(run())


@then("the read ends with EraEnded and the store got no read of the former part")
def step_not_read(context):
    assert isinstance(context.era_result, Err), context.era_result
    assert isinstance(context.era_result.unwrap_err(), EraEnded)
    assert not context.era_world.stand_in.calls


@given("a store that has come back from a copy")
def step_back(context):
    async def run():
        world = context.era_world = ConnectedStore()
        assert (await world.read_group()).is_ok()
        world.stand_in.come_back(world.stand_in.copy())
        world.health.eras.record_era(1, "a peer")
        world.stand_in.calls.clear()

    context.run_async(run())


@when("a transaction is committed whose condition names a row of the era before")
def step_commit(context):
    expected = ExpectedVersion(CONTROL_TABLE, LEADER_KEY, at(1, 0))
    transaction = Transaction(
        1, part_of(1), (expected,), (RowPut(CONTROL_TABLE, LEADER_KEY, b"{}"),)
    )
    context.era_result = context.run_async(context.era_world.direct.commit(transaction))


@then("the commit ends with EraEnded and the store got no transaction")
def step_not_committed(context):
    step_not_read(context)


class ReadAtEnd:
    """A store whose first read is answered in the turn in which the next era begins."""

    def __init__(self, eras):
        self.eras = eras
        self.parts = []

    async def read(self, table, part):
        self.parts.append(part)
        if len(self.parts) > 1:
            return Err(StoreUnreachable("No answer.", "Wait."))
        row = Row(CONTROL_TABLE, part_of(0), LEADER_KEY, b"{}", at(1))
        self.eras.record_era(1, "a peer")
        return Ok(Rows((row,), at(1), 0.0))


@given("a follower of the group's rows whose read is answered as an era begins")
def step_follower(context):
    async def run():
        clock = LoopClock()
        eras = StoreHealth(clock).eras
        eras.record_era(0)
        group = ControlGroup(eras)
        store = context.era_store = ReadAtEnd(eras)
        context.era_applied, context.era_proofs = [], []
        follower = TableFollower(
            store,
            CONTROL_TABLE,
            lambda: group.part,
            lambda: 1.0,
            clock,
            context.era_applied.extend,
            context.era_applied.extend,
            context.era_proofs.append,
        )
        following = asyncio.ensure_future(follower.run())
        await asyncio.sleep(0.05)
        following.cancel()

    context.run_async(run())


@then("no rows of the former part are applied, and the new part is read next")
def step_read_next(context):
    assert not context.era_applied, context.era_applied
    assert not context.era_proofs, context.era_proofs
    assert [each.name for each in context.era_store.parts] == [part_of(0), part_of(1)]


@when(
    "control simulation brings the store of {nodes:d} gateways back from a copy, and a server "
    "leaves in the span that is lost"
)
def step_large_group(context, nodes):
    beside = faults_beside_return("a server leaves in the span that is lost", COPY_S + COPY_AGE_S)
    plan = ControlPlan(nodes, 4, (DrawnFault(RETURN, COPY_S, COPY_AGE_S), *beside))
    context.reports = [run_control_seed(1, plan)]
