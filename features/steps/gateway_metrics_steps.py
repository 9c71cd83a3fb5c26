"""Steps on the page of metrics of a whole gateway."""

import asyncio
import re
from pathlib import Path

from behave import given, then, when
from eliot import add_destinations, remove_destination
from gateway_log_steps import drop_earlier_messages
from gateway_process_world import KEYED, ProcessWorld
from gateway_world import ask, until

from indigoworks.exchange.peer_report import PeerReport
from indigoworks.gateway.local_retry_budget import NEW_PROCESS_SHARE, SAFETY
from indigoworks.ownership.control_group import part_of
from indigoworks.ownership.leader_row import LEADER_KEY, LeaderRow
from indigoworks.rowstore.store_version import NO_VERSION

OPERATORS_PAGE = Path(__file__).parents[2] / "docs" / "OPERATIONS.md"
PAUSE_S = 0.02
MAX_PROOF_AGE_S = 6.0
"""A leader whose proof is older acts no more."""


def start(context, world):
    context.gateway_process = world
    context.gateway_messages = []
    drop_earlier_messages(context)
    add_destinations(context.gateway_messages.append)
    context.add_cleanup(remove_destination, context.gateway_messages.append)
    context.run_async(world.start())


@given('a gateway process with servers "{name}" that {behaviour} and "{keyed}" with keys')
def a_process(context, name, behaviour, keyed):
    async def build():
        world = ProcessWorld(retry_slack=10.0)
        await world.add_server(name, [behaviour])
        world.list_server(keyed, port=1, service=KEYED)
        return world

    start(context, context.run_async(build()))


@given("a gateway process whose store loses the answer of its first write")
def lossy_process(context):
    async def build():
        return ProcessWorld(lost_write=1)

    start(context, context.run_async(build()))


def value_of(context, metric):
    """Return a coroutine of the value; `metric` is name{label=value,...}."""
    name, _, labels = metric.rstrip("}").partition("{")
    pairs = dict(each.split("=") for each in labels.split(",")) if labels else {}
    return context.gateway_process.metric(name, **pairs)


def read(context, metric):
    return context.run_async(value_of(context, metric))


def read_until(context, metric, is_reached):
    async def reach():
        while not is_reached(await value_of(context, metric)):  # noqa: ASYNC110
            await asyncio.sleep(PAUSE_S)

    context.run_async(reach())


@then('the gateway process metric "{metric}" becomes {value:g}')
def becomes(context, metric, value):
    # A metric that is missing reads 0: its name must be one of the page.
    family = re.sub(r"_(total|count)$", "", metric.partition("{")[0])
    assert family in context.run_async(context.gateway_process.families()), family
    read_until(context, metric, lambda now: now == value)


@then('the gateway process metric "{metric}" is {value:d}')
def is_now(context, metric, value):
    assert read(context, metric) == value, read(context, metric)


@then('the gateway process metric "{metric}" grows')
def grows(context, metric):
    before = read(context, metric)
    read_until(context, metric, lambda now: now > before)


@when(
    "a gateway process gets {count:d} requests at once, of which its server has room for {room:d}"
)
def many(context, count, room):
    async def send():
        world = context.gateway_process
        context.gateway_asking = [asyncio.ensure_future(ask(world)) for _ in range(count)]
        await until(lambda: len(world.servers["s1"].requests) == room)

    context.run_async(send())


@when('the gateway process server "{name}" answers all')
def answer_all(context, name):
    async def finish():
        for _ in context.gateway_asking:
            context.gateway_process.servers[name].turns.release()
        await asyncio.gather(*context.gateway_asking)

    context.run_async(finish())


@when("a gateway process caller sends a request that fails")
def failing(context):
    assert context.run_async(ask(context.gateway_process)).status == 502


@then('the gateway process metric "{metric}" is what its settings give for {count:d} request')
def allowed(context, metric, count):
    settings = context.gateway_process.in_force.current
    share = SAFETY * NEW_PROCESS_SHARE
    expected = share * (settings.retry_ratio * count + settings.retry_slack)
    assert abs(read(context, metric) - expected) < 1e-6, read(context, metric)


@then("the gateway process's ages of proofs are small, and those of its configuration grow")
def ages(context):
    for name in ("gateway_leader_proof_age_seconds", "gateway_store_proof_age_seconds"):
        assert 0 <= read(context, name) < MAX_PROOF_AGE_S, name
    name = "gateway_configuration_age_seconds"
    before = read(context, name)
    assert 0 < before < read(context, name)


@when("another gateway process leads epoch {epoch:d}")
def other_leader(context, epoch):
    row = LeaderRow(epoch, "n2", "boot-2", NO_VERSION)
    world = context.gateway_process

    async def put():
        key = LEADER_KEY
        world.store.put(key, row.encode())
        assert world.store.rows[key].part == part_of(0)

    context.run_async(put())


@when('the gateway process gets configuration {version:d}, and its server "{name}" begins to leave')
def change(context, version, name):
    async def put():
        world = context.gateway_process
        world.configure(version)
        # Another port than that of the server with keys: one address has one living server.
        world.list_server(name, port=2, is_draining=True)

    context.run_async(put())


@when("the gateway process hears {count:d} peers")
def hear(context, count):
    async def note():
        for number in range(count):
            report = PeerReport(f"p{number}", "b", 1, 0, 0.0, None, (), (), 0)
            context.gateway_process.gateway._peers.record_report(report)

    context.run_async(note())


@when('the gateway process log drops {count:d} lines of type "{message_type}"')
def drop(context, count, message_type):
    for _ in range(count):
        context.gateway_process.rates.record_dropped(message_type)


@when("a gateway process caller asks, and the page of metrics has its first values")
def first_values(context):
    assert context.run_async(ask(context.gateway_process)).status == 200


@then("the operators' page lists the families of the gateway's page of metrics")
def listed(context):
    families = set(context.run_async(context.gateway_process.families()))
    rows = [row for row in OPERATORS_PAGE.read_text().splitlines() if row.startswith("| `gateway_")]
    names = [re.match(r"\| `(gateway_[a-z_]+)", row)[1] for row in rows]
    assert set(names) == families, set(names) ^ families
    assert len(names) == len(set(names)), names


@when("a gateway process caller asks the service with keys without a key")
def no_key(context):
    assert context.run_async(ask(context.gateway_process, target="/k/x")).status == 400


@then('the gateway process wrote one line "{message_type}" that names the service with keys')
def one_line(context, message_type):
    (line,) = [x for x in context.gateway_messages if x["message_type"] == message_type]
    assert line["service"] == KEYED and line["request_id"] and line["level"] == "WARNING", line
