"""Steps on doubts about requests, and on how gateways tell them."""

import asyncio
from random import Random

import detangle
from behave import given, then, when
from store_versions import at

from indigoworks.broker.broker_codec import decode_datagram, encode_datagram
from indigoworks.broker.broker_datagram import BrokerDatagram
from indigoworks.broker.doubt_broadcaster import DoubtBroadcaster
from indigoworks.broker.doubt_notice import DoubtNotice
from indigoworks.common.address import Address
from indigoworks.common.clock import LoopClock
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.exchange.peer_directory import PEER_PREFIX, PeerDirectory, encode_peer
from indigoworks.exchange.peer_table import PeerTable
from indigoworks.quarantine.doubt import Doubt
from indigoworks.quarantine.doubt_table import DoubtTable
from indigoworks.quarantine.request_content import RequestContent
from indigoworks.quarantine.request_mark import RequestMark, mark_of
from indigoworks.rowstore.row import Row

HOP_S = 0.001


class SetClock:
    """A clock that a scenario moves on."""

    def __init__(self):
        self.now_s = 10.0

    def now(self):
        return self.now_s


def content_of(target, caller):
    return RequestContent(caller, "GET", "shop.example", target, b"")


@given("a table of doubts")
def step_table(context):
    context.doubt_clock = SetClock()
    context.doubts = DoubtTable(context.doubt_clock, context.random)
    context.freed = []
    context.doubts.on_last_lifted = context.freed.append
    context.doubt_words = []
    context.doubts.on_doubt = context.doubt_words.append


@when('a doubt about "{target}" of caller {caller} is raised')
def step_raise(context, target, caller):
    context.doubt = context.doubts.raise_for(content_of(target, caller))


@when("peers are told of that doubt")
def step_tell(context):
    context.doubts.announce(context.doubt)


@then("peers heard {count:d} words of doubts")
def step_words(context, count):
    assert len(context.doubt_words) == count, context.doubt_words


@then("no gateway told another of a doubt")
def step_nothing_told(context):
    answers = context.crash.answers
    assert any(each.status != 200 for each in answers), "no answer was lost"
    doubts = [each.side.doubts for each in context.crash.gateways.values()]
    assert sum(each.raised for each in doubts) > 0
    assert sum(each.announced for each in doubts) == 0


@when("that doubt is lifted")
def step_lift(context):
    context.doubts.lift(context.doubt)


@when('peers tell first that a doubt about "{target}" is lifted, then that it is raised')
def step_late(context, target):
    mark = mark_of(content_of(target, "any").scopes()[-1])
    context.doubts.merge(Doubt(7, mark, is_lifted=True))
    context.doubts.merge(Doubt(7, mark))


@when("{duration_s:g} s pass for the table of doubts")
def step_pass(context, duration_s):
    context.doubt_clock.now_s += duration_s


@when("{count:d} doubts about different requests are raised")
def step_many(context, count):
    context.doubt_targets = [f"/page/{number}" for number in range(count)]
    for target in context.doubt_targets:
        context.doubts.raise_for(content_of(target, "10.0.0.1"))


@then("at most {count:d} doubts are open")
def step_bounded(context, count):
    found = [
        target
        for target in context.doubt_targets
        if context.doubts.find(content_of(target, "any")) is not None
    ]
    assert 0 < len(found) <= count, len(found)


@then('"{target}" of caller {caller} is in doubt')
def step_in_doubt(context, target, caller):
    assert context.doubts.find(content_of(target, caller)) is not None


@then('"{target}" of caller {caller} is in no doubt')
def step_in_no_doubt(context, target, caller):
    assert context.doubts.find(content_of(target, caller)) is None


@then("the request was said to be free")
def step_freed(context):
    assert context.freed == [context.doubt.mark], context.freed


@given("{gateways:d} gateways that tell each other doubts, and lose {lost:g} of the datagrams")
def step_group(context, gateways, lost):
    context.doubt_group = (gateways, lost)


@when("one of them raises a doubt")
def step_one_raises(context):
    gateways, lost = context.doubt_group
    context.told, context.sent = detangle.run(
        lambda: tell_group(gateways, lost, context.random), max_steps=1_000_000
    )


async def tell_group(gateways, lost, random):
    """Return the nodes that were told, and how much each node sent at each moment."""
    clock = LoopClock()
    nodes = [f"gateway-{number}" for number in range(gateways)]
    addresses = {
        node: PeerAddress(node, "boot", f"z{number % 3}", Address(node, 1))
        for number, node in enumerate(nodes)
    }
    rows = [
        Row("control", "", PEER_PREFIX + node, encode_peer(addresses[node]), at(number + 1))
        for number, node in enumerate(nodes)
    ]
    told, sent, broadcasters = set(), {}, {}

    def make(node):
        directory = PeerDirectory(node)
        directory.apply(rows)

        def send(peer, notice):
            moment = (node, clock.now())
            sent[moment] = sent.get(moment, 0) + 1
            if random.random() >= lost:
                asyncio.get_running_loop().call_later(
                    HOP_S, broadcasters[peer.node].handle_notice, notice
                )

        return DoubtBroadcaster(
            directory,
            PeerTable(clock, node),
            send,
            lambda doubt: told.add(node),
            clock,
            Random(node),
        )

    broadcasters.update({node: make(node) for node in nodes})
    broadcasters[nodes[0]].broadcast(Doubt(1, RequestMark(2, 3)))
    await asyncio.sleep(0.05)
    return told, sent


@then("within 0.05 s at least {count:d} of the others have it")
def step_told(context, count):
    assert len(context.told) >= count, len(context.told)


@then("none of them has sent more than {count:d} datagrams at once")
def step_sent(context, count):
    assert max(context.sent.values()) <= count, max(context.sent.values())


@then("a notice of doubts is the same after it was sent")
def step_same(context):
    doubts = (Doubt(2**64 - 1, RequestMark(1, 2**63)), Doubt(3, RequestMark(4, 5), is_lifted=True))
    datagram = BrokerDatagram("gateway-1", "boot", DoubtNotice(doubts, 14, 3, 2**32 - 1))
    assert decode_datagram(encode_datagram(datagram)) == datagram
