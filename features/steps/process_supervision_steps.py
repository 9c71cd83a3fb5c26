"""Steps on the parts of a gateway that fail and are started again."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when
from eliot import add_destinations, remove_destination
from gateway_scripted_server import NAMES  # noqa: F401
from gateway_world import HOST, make_configuration, make_ports, make_record, make_settings
from platform_folder_store_stand_in import FOLDER  # noqa: F401
from result import Ok
from store_versions import at

from indigoworks.common.address import Address
from indigoworks.gateway.background_tasks import BackgroundTasks
from indigoworks.gateway.platform_subsystem import PlatformSubsystem
from indigoworks.gateway.status_subsystem import StatusSubsystem
from indigoworks.rowstore.row import Row
from indigoworks.rowstore.rows import Rows
from indigoworks.rowstore.store_health import StoreHealth
from indigoworks_lab.simulation.core.manual_clock import ManualClock, settle

SERVER = "s1"


def watch_log(context):
    context.supervision_lines = []
    add_destinations(context.supervision_lines.append)
    context.add_cleanup(remove_destination, context.supervision_lines.append)


class ListedServer:
    """A store with one server, whose entry changes when a step says so."""

    def __init__(self, clock):
        self.clock = clock
        self.version = 1
        self.value = b"ready"

    def leave(self):
        self.version += 1
        self.value = b"leaving"

    async def read(self, table, part):
        return self._answer(table, True)

    async def follow(self, table, after, wait_s):
        await self.clock.sleep(0.1)
        return self._answer(table, after.counter < self.version)

    def _answer(self, table, has_rows):
        key = SERVER if table == "servers" else "config"
        row = Row(table, "", key, self.value, at(self.version))
        return Ok(Rows((row,) if has_rows else (), at(self.version), self.clock.now()))


@given("process supervision: a gateway's followers, of which the servers' fails {n:d} times")
def step_followers(context, n):
    watch_log(context)

    async def run():
        clock = context.supervision_clock = ManualClock()
        store = context.supervision_store = ListedServer(clock)
        ports = make_ports(
            StoreHealth(clock),
            store=store,
            read_configuration=lambda value: Ok(make_configuration(1)),
            read_server=lambda row: Ok(
                make_record(
                    row.key,
                    Address(HOST, 1),
                    row.version.counter,
                    is_draining=row.value == b"leaving",
                )
            ),
        )
        side = context.supervision_side = PlatformSubsystem(ports, make_settings(), clock)
        faults = iter([TypeError("unhashable type: 'list'")] * n)

        def fail():
            for fault in faults:
                raise fault

        side.on_servers_changed(fail)
        context.supervision_tasks = BackgroundTasks(clock)
        for name, follower in zip(("operator_rows", "servers"), side.followers, strict=True):
            context.supervision_tasks.start(name, follower.run)

    context.run_async(run())
    context.add_cleanup(context.supervision_tasks.cancel_all)


@given("process supervision: a part that raises a fault {n:d} times and then runs")
def step_part(context, n):
    watch_log(context)
    context.supervision_starts = 0

    async def part():
        context.supervision_starts += 1
        if context.supervision_starts <= n:
            raise RuntimeError("a fault")
        await asyncio.Event().wait()

    async def run():
        context.supervision_clock = ManualClock()
        context.supervision_tasks = BackgroundTasks(context.supervision_clock)
        context.supervision_tasks.start("part", part)
        await settle()

    context.run_async(run())
    context.add_cleanup(context.supervision_tasks.cancel_all)
    context.supervision_faults = n


@when("process supervision: {duration_s:g} s pass")
@when("process supervision: {duration_s:g} s passes")
def step_pass(context, duration_s):
    context.run_async(context.supervision_clock.advance(duration_s))


@when("process supervision: a server of the list leaves")
def step_leaves(context):
    context.supervision_store.leave()
    context.run_async(context.supervision_clock.advance(1.0))


@then("process supervision: the server that leaves gets no requests")
def step_no_requests(context):
    servers = context.supervision_side.servers
    assert servers.get(SERVER) is not None and not servers.is_usable(SERVER)


@then('process supervision: the log names the part "{name}" {n:d} times, with growing delays')
def step_log(context, name, n):
    lines = [each for each in context.supervision_lines if each["message_type"] == "process:fault"]
    assert [each["part"] for each in lines] == [name] * n, lines
    delays = [each["restart_in_s"] for each in lines]
    assert delays == sorted(set(delays)), delays
    assert all("TypeError" in each["reason"] for each in lines)


@then('process supervision: the failing parts are "{names}"')
def step_failing(context, names):
    assert context.supervision_tasks.failing() == names.split(", ")


@then("process supervision: no part is failing, and the part runs")
def step_not_failing(context):
    assert context.supervision_tasks.failing() == []
    assert context.supervision_starts == context.supervision_faults + 1


@when("process supervision: all parts are cancelled, and {duration_s:g} s pass")
def step_cancelled(context, duration_s):
    context.supervision_tasks.cancel_all()
    context.run_async(context.supervision_clock.advance(duration_s))


@then("process supervision: the part was started {n:d} times")
def step_started(context, n):
    assert context.supervision_starts == n


@given("process supervision: a ready gateway's status")
def step_status(context):
    ready = SimpleNamespace(is_loaded=True, leadership=SimpleNamespace(has_read=True))
    settings = SimpleNamespace(current=make_settings())
    ports = make_ports(None)
    context.supervision_status = StatusSubsystem(
        settings, "b", ports, ready, ready, None, None, None, None
    )


@when("process supervision: one of its parts keeps failing")
def step_fails(context):
    context.supervision_status.failing_parts = lambda: ["servers"]


@then("process supervision: its readiness probe is answered with {status:d}")
def step_probe(context, status):
    request = SimpleNamespace(path="/readiness")
    answer = context.run_async(context.supervision_status._answer_readiness(request))
    assert answer.status == status


@when("process supervision: the next renewal of the gateway owner world raises a fault")
def step_renewal_fails(context):
    orders = context.proof.orders
    grant = orders.grant

    async def fail(*arguments, **options):
        orders.grant = grant
        raise RuntimeError("a fault in a renewal")

    orders.grant = fail
