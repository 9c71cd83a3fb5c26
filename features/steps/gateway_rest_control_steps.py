"""Steps on what the leader and peers make of servers' wishes."""

import asyncio
from random import Random

from behave import given, then, when
from gateway_control_steps import until
from gateway_control_world import SERVICE
from gateway_world import make_rate_budget, make_record

from indigoworks.common.address import Address
from indigoworks.exchange.hub_aggregation import aggregate_reports
from indigoworks.exchange.key_sample import KeySample
from indigoworks.exchange.peer_report import AgedReport, PeerReport, node_checksum
from indigoworks.exchange.peer_table import PeerTable
from indigoworks.exchange.report_codec import decode_report, encode_report
from indigoworks.gateway.notice_reports import NoticeReports
from indigoworks.gateway.server_selector import ServerSelector
from indigoworks.gateway.server_stats import ServerStats
from indigoworks.rowstore.store_health import StoreHealth
from indigoworks.servers.server_list import ServerList
from indigoworks.servers.server_notice import ServerNotice
from indigoworks_lab.simulation.core.manual_clock import ManualClock

PEER_PERIOD_S = 0.2
LOOKS_S = 1.2
"""The leader looks each 0.1 s: what it has not moved within this it does not move."""

REST = ServerNotice(rest_s=3.0)
LEAVING = ServerNotice(is_leaving=True)


def report(node, sequence=1, notices=(), **fields):
    return PeerReport(node, "b", sequence, 0, 0.0, None, (), (), 0, notices=notices, **fields)


@given("another gateway of the control group is heard")
def step_peer(context):
    world = context.control

    async def tell():
        sequence = 0
        while True:
            sequence += 1
            world.peers.record_report(report("n2", sequence))
            await asyncio.sleep(PEER_PERIOD_S)

    async def start():
        asyncio.ensure_future(tell())

    context.run_async(start())


def take(context, names, rest_s, tellers):
    """Let the leader, and so many gateways beside it, be asked for rest by servers."""
    world = context.control

    async def run():
        for name in names:
            await until(lambda name=name: world.orders.granted(name))
        context.control_versions = world.tables.table(SERVICE).version
        for name in names:
            world.servers.record_notice(name, ServerNotice(rest_s=rest_s))
            record = world.servers.get(name)
            world.servers.notices.rests.record_from_peer(record, range(tellers), rest_s)

    context.run_async(run())


@when('gateway control server "{name}" asks the leader for {rest_s:g} s of rest')
def step_ask_leader(context, name, rest_s):
    take(context, [name], rest_s, 0)


@when('gateway control server "{name}" asks two gateways for {rest_s:g} s of rest')
def step_ask_two(context, name, rest_s):
    take(context, [name], rest_s, 1)


@when('gateway control servers "{one}" and "{other}" ask two gateways for {rest_s:g} s of rest')
def step_both_ask(context, one, other, rest_s):
    take(context, [one, other], rest_s, 1)


@when('gateway control server "{name}" asks two gateways for rest while "{other}" has no room')
def step_no_room(context, name, other):
    """Both are asked for 15 requests a second of the 20 that each can do."""
    world = context.control

    async def fill():
        await until(lambda: world.orders.granted(other))
        ranges = world.tables.table(SERVICE).ranges
        keys = tuple(each.first + 50 * number for each in ranges for number in range(120))
        world.peers.add_samples([KeySample(SERVICE, keys, len(keys))])
        await asyncio.sleep(PEER_PERIOD_S)

    context.run_async(fill())
    take(context, [name], 3.0, 1)


@when('gateway control server "{name}" says in an answer that it leaves')
def step_says_leaving(context, name):
    world = context.control

    async def run():
        await until(lambda: world.orders.granted(name))
        # As the adapter tells of an answer to an order.
        world.servers.record_notice(name, LEAVING)

    context.run_async(run())


@then("the gateway control member has moved no key")
def step_not_moved(context):
    world = context.control

    async def wait():
        await asyncio.sleep(LOOKS_S)

    before = {each.server_id for each in world.tables.table(SERVICE).ranges}
    context.run_async(wait())
    table = world.tables.table(SERVICE)
    assert {each.server_id for each in table.ranges} == before == {"a", "b"}, table
    assert all(not each.former for each in table.ranges), table


class Gateway:
    """What a gateway knows of two servers of one service."""

    def __init__(self, node):
        self.clock = ManualClock()
        self.servers = ServerList(StoreHealth(self.clock), 1.0, self.clock)
        for number, name in enumerate(("a", "b")):
            self.servers.put(make_record(name, Address("10.0.0.1", number), number + 1))
        self.notices = NoticeReports(node, self.servers)
        board = ServerStats(PeerTable(self.clock), self.clock)
        self._choice = ServerSelector(
            self.servers, board, make_rate_budget(self.clock), "z1", Random(1)
        )

    def usable(self):
        return sorted(each.server_id for each in self._choice.usable("shop"))


@then("gateway notes: a report says what a server asked for, and comes back as it was sent")
def step_codec(context):
    one = Gateway("n1")
    one.servers.record_notice("a", REST)
    one.servers.record_notice("b", LEAVING)
    sent = report("n1", notices=one.notices.next_notes())
    assert [each.is_leaving for each in sent.notices] == [True, False], sent
    assert sent.notices[1].reporters == (node_checksum("n1"),)
    assert sent.notices[1].rest_left_s == 3.0
    assert decode_report(encode_report(sent)) == sent


@then("gateway notes: the sums of a hub name each gateway that was asked once")
def step_sums(context):
    gateways = [Gateway(f"n{number}") for number in range(3)]
    for each in gateways[:2]:
        each.servers.record_notice("a", REST)
    own, *members = [
        report(f"n{number}", notices=each.notices.next_notes())
        for number, each in enumerate(gateways)
    ]
    summed = aggregate_reports(own, [AgedReport(each, 0.0) for each in members])
    (note,) = summed.notices
    assert sorted(note.reporters) == sorted(map(node_checksum, ("n0", "n1"))), note
    # The sums come back to a gateway that is part of them.
    gateways[1].notices.apply(summed.notices)
    gateways[1].notices.apply(summed.notices)
    assert gateways[1].servers.rest_left_s_for_many("a") == 3.0
    gateways[2].servers.record_notice("b", REST)
    alone = report("n2", notices=gateways[2].notices.next_notes())
    gateways[2].notices.apply(aggregate_reports(alone, []).notices)
    assert gateways[2].servers.rest_left_s_for_many("b") == 0.0


def tell(tellers, listener, name, notice=REST):
    for node in tellers:
        teller = Gateway(node)
        teller.servers.record_notice(name, notice)
        listener.notices.apply(teller.notices.next_notes())


@then("gateway notes: what one gateway was asked for binds no other")
def step_one_teller(context):
    listener = Gateway("n1")
    tell(["n2"], listener, "a")
    assert listener.usable() == ["a", "b"]
    assert not listener.servers.is_held_back("a")


@then("gateway notes: of several servers those that asked many are spared, unless all did")
def step_many_tellers(context):
    listener = Gateway("n1")
    tell(["n2", "n3"], listener, "a")
    assert listener.usable() == ["b"]
    assert not listener.servers.is_held_back("a")
    tell(["n2", "n3"], listener, "b")
    assert listener.usable() == ["a", "b"]
    listener.servers.record_notice("a", REST)
    assert listener.usable() == ["b"]
    listener.clock._now_s += 3.1
    assert listener.usable() == ["a", "b"]


@then("gateway notes: a server that told one gateway of its leaving gets no new work from any")
def step_leaving_told(context):
    listener = Gateway("n1")
    tell(["n2"], listener, "a", LEAVING)
    assert listener.usable() == ["b"]
    assert not listener.notices.has_any(), "only who was told itself tells of it"


@then("gateway notes: a report without wishes is as long as before")
def step_length(context):
    quiet = Gateway("n1")
    assert quiet.notices.next_notes() == ()
    assert not quiet.notices.has_any()
    asked = Gateway("n1")
    asked.servers.record_notice("a", REST)
    quiet_bytes = encode_report(report("n1", notices=quiet.notices.next_notes()))
    asked_bytes = encode_report(report("n1", notices=asked.notices.next_notes()))
    context.gateway_note_bytes = len(asked_bytes) - len(quiet_bytes)
    assert context.gateway_note_bytes <= 20, context.gateway_note_bytes
