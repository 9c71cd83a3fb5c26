"""Steps on new settings in a running gateway."""

import asyncio
import json
import os
import signal
import tempfile
from pathlib import Path

from behave import given, then, when
from gateway_metrics_steps import start
from gateway_process_world import KEYED, ProcessWorld, settings_document
from gateway_scripted_server import BODY
from gateway_world import Caller, ask, until

from indigoworks.exchange.peer_directory import PeerDirectory
from indigoworks.exchange.peer_table import PeerTable
from indigoworks.gateway.local_retry_budget import NEW_PROCESS_SHARE, LocalRetryBudget
from indigoworks.servers.server_list import TROUBLE_HEARTBEATS, TROUBLE_MARGIN_S
from indigoworks_lab.simulation.core.manual_clock import ManualClock


def write_settings(context, text):
    context.gateway_settings_path.write_text(text)


def document(context, **fields):
    return json.dumps({**settings_document(context.gateway_process.settings), **fields})


def hang_up(context):
    """Send SIGHUP and wait for the line that tells what came of it."""
    before = len(reloads(context))

    async def send():
        os.kill(os.getpid(), signal.SIGHUP)
        await until(lambda: len(reloads(context)) > before)

    context.run_async(send())


def reloads(context):
    return [x for x in context.gateway_messages if x["message_type"] == "process:reload"]


@given("a gateway process with a settings file")
def with_file(context):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.gateway_settings_path = Path(directory.name) / "settings"

    async def build():
        world = ProcessWorld()
        world.settings_path = str(context.gateway_settings_path)
        await world.add_server("s1", ["answers"])
        world.list_server("k1", port=1, service=KEYED)
        return world

    start(context, context.run_async(build()))
    write_settings(context, document(context))


@when("a gateway process caller asks once")
def ask_once(context):
    assert context.run_async(ask(context.gateway_process)).status == 200


@when("the gateway process's settings file says {fields} and SIGHUP comes")
def file_says(context, fields):
    write_settings(context, document(context, **json.loads(fields)))
    hang_up(context)


@when("the gateway process's settings file is gone and SIGHUP comes")
def file_gone(context):
    context.gateway_settings_path.unlink()
    hang_up(context)


@when("the gateway process's settings file is cut short and SIGHUP comes")
def file_cut(context):
    write_settings(context, document(context)[:-2])
    hang_up(context)


@then('the gateway process wrote one reload line with the outcome "{outcome}"')
def one_reload(context, outcome):
    (context.gateway_reload,) = reloads(context)
    assert context.gateway_reload["outcome"] == outcome, context.gateway_reload


@then('the gateway process\'s second reload line has the outcome "{outcome}"')
def second_reload(context, outcome):
    _, second = reloads(context)
    assert second["outcome"] == outcome, second


def names(text):
    return [] if text == "nothing" else text.split(", ")


@then("the gateway reload line names as changed {fields}")
def changed(context, fields):
    told = context.gateway_reload["changed"]
    assert sorted(told) == names(fields), told
    current = context.gateway_process.in_force.current
    assert all(value == getattr(current, name) for name, value in told.items())


@then("the gateway reload line names as in need of a restart {fields}")
def restart(context, fields):
    told = context.gateway_reload["needs_restart"]
    assert sorted(told) == names(fields), told


@then('the gateway reload line gives the error "{kind}" and a remedy that names "{named}"')
def refused(context, kind, named):
    line = context.gateway_reload
    assert line["error"] == kind and named in line["remedy"] and line["reason"], line
    assert line["level"] == "ERROR"


@then("the gateway process goes by the settings object of its start")
def same_object(context):
    world = context.gateway_process
    assert world.in_force.current is world.settings


@then("the gateway process grants with a hold of {hold_s:g} s from then on")
def grants(context, hold_s):
    orders = context.gateway_process.ports.orders

    async def next_grant():
        before = len(orders.orders)
        await until(lambda: len(orders.orders) > before + 1)
        return orders.orders[-1][2].hold_s

    assert context.run_async(next_grant()) == hold_s


@then("the gateway process gives servers {wait_s:g} s after trouble, and ends within {grace_s:g} s")
def times(context, wait_s, grace_s):
    gateway = context.gateway_process.gateway
    heartbeat_s = context.gateway_process.in_force.current.server_heartbeat_s
    assert wait_s == TROUBLE_HEARTBEATS * heartbeat_s + TROUBLE_MARGIN_S
    assert gateway._platform.servers._settle_s == wait_s
    assert gateway._settings.stop_grace_s == grace_s


@then('the gateway process still has the node "{node}" and answers at its address')
def still(context, node):
    world = context.gateway_process
    current = world.in_force.current
    assert (current.node, current.front_address) == (node, world.settings.front_address)
    assert context.run_async(ask(world)).status == 200


@when("a gateway process request is at its server while settings change")
def while_changing(context):
    async def send():
        world = context.gateway_process
        await world.add_server("s2", ["holds"])
        world.list_server("s1", port=1, is_draining=True)
        context.gateway_sockets = open_sockets(world)
        context.gateway_caller = await Caller(world).open()
        # The process may not have read of the new server yet.
        while not world.servers["s2"].requests:
            context.gateway_asking = asyncio.ensure_future(context.gateway_caller.ask())
            await until(lambda: world.servers["s2"].requests or context.gateway_asking.done())

    context.run_async(send())
    file_says(context, '{"retry_slack": 30, "retry_ratio": 0.25}')
    assert not context.gateway_asking.done()


def open_sockets(world):
    front = world.gateway._requests.front
    return [(each.fileno(), each.getsockname()) for each in front._listeners]


@then("the gateway process request is answered whole, and the next one on its connection")
def answered(context):
    async def receive():
        turns = context.gateway_process.servers["s2"].turns
        turns.release()
        first = await context.gateway_asking
        turns.release()
        return first, await context.gateway_caller.ask()

    for each in context.run_async(receive()):
        assert (each.status, each.body) == (200, BODY), each


@then("the gateway process listens on the sockets of its start")
def same_sockets(context):
    now = open_sockets(context.gateway_process)
    assert now == context.gateway_sockets and now[0][0] > 0, now


@then("gateway budget: after a longer window is set, the share of a new process applies")
def longer_window(context):
    clock = ManualClock()
    allowance = LocalRetryBudget(0.0, 1.0, 100.0, PeerTable(clock), PeerDirectory("own"), clock)
    clock._now_s += 50.0
    full = allowance.allowed("shop")
    allowance.set_budget(0.0, 0.5, 100.0)
    assert allowance.allowed("shop") == full
    allowance.set_budget(0.0, 10.0, 100.0)
    assert allowance.allowed("shop") == full * NEW_PROCESS_SHARE
    clock._now_s += 10.0
    assert allowance.allowed("shop") == full
