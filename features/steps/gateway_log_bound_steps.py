"""Steps on the bound of a gateway's log."""

import asyncio
import json
import os
import re
import tempfile
from collections import Counter
from pathlib import Path

from behave import given, then, when
from eliot import add_destinations, log_message, remove_destination
from gateway_log_steps import add_lines, drop_earlier_messages, make_buffer, pass_second
from gateway_metrics_steps import OPERATORS_PAGE
from gateway_request_steps import make_world
from gateway_world import ask, make_route, make_service, until

from indigoworks.common.logging.line_buffer import MAX_BUFFERED_BYTES
from indigoworks.common.logging.line_rate_limiter import (
    FAILURE_LINES_PER_S,
    SUCCESS_LINES_PER_S,
    is_control,
)
from indigoworks.common.metrics import Metrics
from indigoworks.exchange.peer_table import PeerTable
from indigoworks.gateway.client_request import ClientRequest
from indigoworks.gateway.refusal import Refusal, RefusalReason
from indigoworks.gateway.request_log import RequestLog
from indigoworks.gateway.request_metrics import RequestMetrics
from indigoworks.gateway.request_state import RequestState
from indigoworks.gateway.server_response import ExchangeResult, ServerResponse
from indigoworks.gateway.server_stats import ServerStats
from indigoworks.rowstore.store_health import StoreHealth
from indigoworks_lab.simulation.core.manual_clock import ManualClock

FLOOD = 10
ANSWERED = ServerResponse(ExchangeResult.ANSWERED, 200)
BOUNDS = {
    "request:answered": SUCCESS_LINES_PER_S,
    "request:refused": FAILURE_LINES_PER_S,
    "request:fault": FAILURE_LINES_PER_S,
}
CONTROL = (
    "leader:seen",
    "process:reload",
    "ownership:written",
    "store:lost",
    "peer:silent",
    "relay:failed",
)


@given("a gateway log whose reader takes everything")
def a_log(context):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.gateway_log_path = Path(directory.name) / "log"
    descriptor = os.open(context.gateway_log_path, os.O_WRONLY | os.O_CREAT)
    context.add_cleanup(os.close, descriptor)
    make_buffer(context, descriptor)
    clock = ManualClock()
    board = ServerStats(PeerTable(clock), clock)
    metrics = RequestMetrics(Metrics())
    context.gateway_request_log = RequestLog(board, metrics, context.gateway_rates, clock)
    context.gateway_control_lines = 0


def make_state(arrived_s=100.0):
    request = ClientRequest("r-1", "GET", "shop.example", "/a/x", (), b"", None, None, arrived_s)
    return RequestState(request, make_route(), make_service(), 1)


def answer_many(context, count):
    state = make_state()
    for _ in range(count):
        context.gateway_request_log.answered(state, ANSWERED)


def lines_of(context):
    return [json.loads(line) for line in context.gateway_log_path.read_text().splitlines()]


@when(
    "in each of {seconds:d} seconds ten times the gateway log's bound of answers, refusals and "
    "faults comes"
)
def flood(context, seconds):
    context.gateway_seconds = seconds
    refusal = Refusal(RefusalReason.OVERLOAD, 0.1)
    state = make_state()
    for _ in range(seconds):
        answer_many(context, FLOOD * SUCCESS_LINES_PER_S)
        for _ in range(FLOOD * FAILURE_LINES_PER_S):
            context.gateway_request_log.refused(state.request, state, refusal)
            log_message(message_type="request:fault", level="ERROR")
        for message_type in CONTROL * FAILURE_LINES_PER_S:
            log_message(message_type=message_type)
        context.gateway_control_lines += FAILURE_LINES_PER_S
        # Flushes within the second begin no new one.
        context.gateway_lines.flush()
        answer_many(context, 1)
        pass_second(context)
        context.gateway_lines.flush()


@then("the gateway log holds the bound of each type for each second")
def within_bound(context):
    counts = Counter(each["message_type"] for each in lines_of(context))
    held = {each: counts[each] for each in BOUNDS}
    assert held == {each: context.gateway_seconds * BOUNDS[each] for each in BOUNDS}, held


@then("the gateway log tells once a second how many lines of which type were dropped")
def drops_told(context):
    told = [each for each in lines_of(context) if each["message_type"] == "log:dropped"]
    expected = {each: (FLOOD - 1) * BOUNDS[each] for each in BOUNDS}
    expected["request:answered"] += 1
    assert [each["types"] for each in told] == [expected] * context.gateway_seconds, told
    assert all(each["lines"] == sum(expected.values()) for each in told)
    assert all(each["level"] == "WARNING" and each["timestamp"] for each in told)
    total = {each: expected[each] * context.gateway_seconds for each in BOUNDS}
    assert context.gateway_rates.dropped == total


@then("the gateway log holds every line of control")
def control_held(context):
    counts = Counter(each["message_type"] for each in lines_of(context))
    for message_type in CONTROL:
        assert counts[message_type] == context.gateway_control_lines, message_type


@when("in each of {seconds:d} seconds as many answers come as the gateway log's bound allows")
def within(context, seconds):
    context.gateway_seconds = seconds
    for _ in range(seconds):
        answer_many(context, SUCCESS_LINES_PER_S)
        pass_second(context)
        context.gateway_lines.flush()


@then("the gateway log holds them all, and tells of no dropped line")
def all_held(context):
    counts = Counter(each["message_type"] for each in lines_of(context))
    assert counts == {"request:answered": context.gateway_seconds * SUCCESS_LINES_PER_S}, counts


@when("beyond the gateway log's bound of answers a late one comes, and one of status {status:d}")
def then_failures(context, status):
    answer_many(context, FLOOD * SUCCESS_LINES_PER_S)
    late = make_state(arrived_s=100.0 - make_route().aim_s - 0.1)
    context.gateway_request_log.answered(late, ANSWERED)
    failed = ServerResponse(ExchangeResult.ANSWERED, status)
    context.gateway_request_log.answered(make_state(), failed)
    context.gateway_lines.flush()


@then("the gateway log holds the late answer and the one of status {status:d}")
def failures_held(context, status):
    lines = [each for each in lines_of(context) if each["level"] == "WARNING"]
    late, failed = [each for each in lines if each["message_type"] == "request:answered"]
    assert late["elapsed_s"] > make_route().aim_s and late["status"] == ANSWERED.status
    assert failed["status"] == status


@when("the gateway line buffer is full, then {count:d} lines of control come")
def control_into_full(context, count):
    add_lines(context, 2 * MAX_BUFFERED_BYTES // 900)
    context.gateway_lines.flush()
    add_lines(context, 2 * MAX_BUFFERED_BYTES // 900)
    context.gateway_control_lines = count
    for number in range(count):
        log_message(message_type="server:listed", number=number, text="c" * 500)


@then("the gateway line buffer holds no more bytes than its limit")
def bytes_bounded(context):
    assert MAX_BUFFERED_BYTES // 2 < context.gateway_lines.held_bytes <= MAX_BUFFERED_BYTES


@then(
    "the gateway pipe gave every line of control whole, and counts of the others that are missing"
)
def control_read(context):
    messages = [json.loads(line) for line in context.gateway_data.splitlines()]
    control = [each["number"] for each in messages if each["message_type"] == "server:listed"]
    assert control == list(range(context.gateway_control_lines)), control
    others = [each["number"] for each in messages if each["message_type"] == "m"]
    dropped = [each["types"] for each in messages if each["message_type"] == "log:dropped"]
    assert dropped == [{"m": context.gateway_added - len(others)}], dropped
    assert others == sorted(set(others)) and others


@when("ten times the gateway log's bound of answers comes and the gateway log is finished")
def finish(context):
    answer_many(context, FLOOD * SUCCESS_LINES_PER_S)
    context.gateway_lines.finish()


@then("the gateway log's last line tells what was dropped")
def last_line(context):
    last = lines_of(context)[-1]
    assert last["types"] == {"request:answered": (FLOOD - 1) * SUCCESS_LINES_PER_S}, last


PACKAGES = (
    "gateway",
    "ownership",
    "exchange",
    "relay",
    "broker",
    "rowstore",
    "servers",
    "routes",
    "common",
    "common/logging",
    "quarantine",
    "reach",
    "outliers",
    "forwarding",
)
TYPES_OF_BOTH_LEVELS = ("request:answered", "request:forwarded")
MESSAGE_TYPE = re.compile(r'"([a-z]+:[a-z_]+)"')


def types_of_the_code():
    root = OPERATORS_PAGE.parents[1] / "indigoworks"
    sources = [path for name in PACKAGES for path in (root / name).glob("*.py")]
    found = {each for path in sources for each in MESSAGE_TYPE.findall(path.read_text())}
    # This one is the library's; OPERATIONS.md lists our own.
    return found - {"eliot:traceback"}


@then("the operators' page lists each gateway log type of the code under its bound")
def types_listed(context):
    page = OPERATORS_PAGE.read_text()
    section = page[page.index("| message type | bound a second |") :].split("\n\n")[0]
    rows = [row.split("|")[1:3] for row in section.splitlines()[2:]]
    bounds = {
        name: bound.strip() for names, bound in rows for name in re.findall(r"`(.+?)`", names)
    }
    expected = {each: "none" if is_control(each) else str(FAILURE_LINES_PER_S) for each in bounds}
    for each in TYPES_OF_BOTH_LEVELS:
        expected[each] = f"{SUCCESS_LINES_PER_S}; {FAILURE_LINES_PER_S}"
    assert set(bounds) == types_of_the_code(), set(bounds) ^ types_of_the_code()
    assert bounds == expected, {each for each in bounds if bounds[each] != expected[each]}


@given("a gateway whose lines are kept")
def kept_lines(context):
    drop_earlier_messages(context)
    context.gateway_messages = []
    add_destinations(context.gateway_messages.append)
    context.add_cleanup(remove_destination, context.gateway_messages.append)
    make_world(context)


@when(
    "{count:d} gateway requests come, its server has room for {room:d}, and one answer comes "
    "{later_s:g} s later"
)
def one_waits(context, count, room, later_s):
    async def send():
        world = context.gateway
        server = world.servers["s1"]
        asking = [asyncio.ensure_future(ask(world)) for _ in range(count)]
        await until(lambda: len(server.requests) == room)
        await until(lambda: sum(world.side.queue.waiting_by_service().values()) == count - room)
        world.clock.shift_s += later_s
        for _ in asking:
            server.turns.release()
        await asyncio.gather(*asking)

    context.run_async(send())


@then("one gateway line of a request that was answered tells of a wait of at least {wait_s:g} s")
def wait_told(context, wait_s):
    lines = [x for x in context.gateway_messages if x["message_type"] == "request:answered"]
    assert sum(each["waited_s"] >= wait_s for each in lines) == 1, lines
    assert all(each["waited_s"] <= each["elapsed_s"] for each in lines), lines


@when("the gateway's store fails before its first answer")
def store_fails(context):
    StoreHealth(ManualClock()).record_trouble("/call", "refused")


@then("the gateway line on its loss is JSON")
def loss_is_json(context):
    (line,) = [x for x in context.gateway_messages if x["message_type"] == "store:lost"]
    json.dumps(line, allow_nan=False)
