"""Steps on repeats, their budget, room at servers, and the stop of a gateway."""

from collections import deque
from random import Random

from behave import given, then, when
from gateway_request_steps import add, make_world
from gateway_scripted_server import BEHAVIOURS
from gateway_world import (
    HOST,
    ask,
    free_port,
    make_record,
)
from hypothesis import given as for_all
from hypothesis import strategies
from store_versions import at

from indigoworks.common.address import Address
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.exchange.peer_directory import PEER_PREFIX, PeerDirectory, encode_peer
from indigoworks.exchange.peer_report import PeerReport
from indigoworks.exchange.peer_table import PeerTable
from indigoworks.gateway.local_retry_budget import NEW_PROCESS_SHARE, SAFETY, LocalRetryBudget
from indigoworks.rowstore.row import Row
from indigoworks_lab.simulation.core.manual_clock import ManualClock

WINDOW_S = 10.0


@given("a gateway that may repeat {count:d} requests")
def with_budget(context, count):
    # A whisker above, so that rounding does not decide.
    slack = (count + 1e-6) / (SAFETY * NEW_PROCESS_SHARE) if count else 0.0
    make_world(context, retry_ratio=0.0, retry_slack=slack)


@given("a gateway server of another zone that {behaviour}")
def other_zone(context, behaviour):
    """Any other server that is as good is asked before it."""
    add(context, "far", [behaviour], zone="z2")


@given("{count:d} gateway servers that each {behaviour}")
def several(context, count, behaviour):
    for number in range(count):
        add(context, f"s{number}", [behaviour])


@given("2 gateway servers, of which the first to be asked {behaviour}")
def first_asked(context, behaviour):
    for name in ("s0", "s1"):
        add(context, name, ["answers"])
    servers = list(context.gateway.servers.values())

    async def as_first(server, request, writer):
        is_first = len(context.gateway.requests()) == 1
        chosen = behaviour if is_first else context.gateway_other
        return await BEHAVIOURS[chosen](server, request, writer)

    context.gateway_other = "answers"
    for server in servers:
        server.behaviours = [as_first]


@given("the other gateway server {behaviour}")
def other_server(context, behaviour):
    context.gateway_other = behaviour


@given("the gateway route allows {most:d} servers")
def allow(context, most):
    context.gateway.configure(max_attempts=most)


@given("a gateway server at whose address nothing listens")
def nothing_listens(context):
    record = make_record("dark", Address(HOST, free_port()))
    context.run_async(context.gateway.put_server(record))


@when("a gateway caller at {host} sends the same request {count:d} times")
def send_same(context, host, count):
    async def run():
        return [await ask(context.gateway, from_host=host) for _ in range(count)]

    context.gateway_answers.extend(context.run_async(run()))


@then("the gateway servers got {count:d} requests, each server one")
@then("the gateway servers got {count:d} requests, each server one at most")
def one_each(context, count):
    servers = context.gateway.servers.values()
    counts = sorted(len(each.requests) for each in servers)
    assert sum(counts) == count and counts[-1] == 1, counts


@then("every gateway answer says when to come back")
def come_back(context):
    assert context.gateway_answers
    for each in context.gateway_answers:
        assert float(each.header("Retry-After")) > 0, each


@then("gateway budget: whatever is asked, no window holds more repeats than its share")
def budget_property(context):
    steps = strategies.lists(strategies.sampled_from(["ask", "repeat", "repeat", "wait"]))
    numbers = strategies.integers(0, 12)

    @for_all(steps, numbers, numbers, numbers, strategies.integers(0, 10**6))
    def check(actions, slack, heard, listed, seed):
        clock = ManualClock()
        peers, directory = PeerTable(clock), PeerDirectory("own")
        for number in range(heard):
            peers.record_report(PeerReport(f"p{number}", "b", 1, 0, 0.0, None, (), (), 0))
        directory.apply([peer_row(f"p{number}") for number in range(listed)])
        allowance = LocalRetryBudget(0.5, WINDOW_S, slack, peers, directory, clock)
        # Peers that were heard once go on counting when they fall silent.
        allowance.try_consume("other")
        check_budget(Random(seed), clock, allowance, actions, slack / (1 + max(heard, listed)))

    check()


def peer_row(node):
    peer = PeerAddress(node, "b", "z1", Address(HOST, 1))
    return Row("t", "", PEER_PREFIX + node, encode_peer(peer), at(1))


def check_budget(random, clock, allowance, actions, slack):
    started_s = clock.now()
    asked, repeated = deque(), deque()
    for action in actions:
        if action == "wait":
            clock._now_s += random.uniform(0.0, 8.0)
        if action == "ask":
            allowance.record_request("shop")
            asked.append(clock.now())
        if action != "repeat":
            continue
        recent = [sum(at >= clock.now() - WINDOW_S for at in each) for each in (asked, repeated)]
        share = SAFETY * (0.5 * recent[0] + slack)
        if clock.now() - started_s < WINDOW_S:
            share *= NEW_PROCESS_SHARE
        is_granted = allowance.try_consume("shop")
        assert is_granted == (recent[1] + 1 <= share), (recent, share)
        if is_granted:
            repeated.append(clock.now())
