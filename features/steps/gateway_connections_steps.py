"""Steps on connections of a large group of gateways to servers."""

from types import SimpleNamespace

from behave import given, then, when
from detangle._config import SimConfig
from gateway_connections_world import ConnectionsWorld, IdleConnection
from gateway_world import make_record
from header_names import HEADER_NAMES

from indigoworks.broker import broker_pb2 as pb
from indigoworks.broker.broker_codec import decode_datagram, encode_datagram
from indigoworks.broker.broker_datagram import BrokerDatagram
from indigoworks.broker.slot_request import SlotRequest
from indigoworks.common.address import Address
from indigoworks.exchange.server_load import server_checksum
from indigoworks.gateway.connected_servers import prefer_connected
from indigoworks.gateway.connection_pool import DEFAULT_KEEP_ALIVE_S
from indigoworks.gateway.request_sender import RequestSender
from indigoworks_lab.simulation.core.disposal import dispose, silent_disposal
from indigoworks_lab.simulation.core.faulty_loop import FaultyLoop

MAX_STEPS = 10_000_000

SIZE = "{gateways:d} gateways send {per_s:d} requests a second for {seconds:d} s to {servers:d}"


class HandClock:
    """A clock that steps set."""

    now_s = 0.0

    def now(self):
        return self.now_s


def play(context, names_servers):
    async def run():
        world = ConnectionsWorld(*context.connections_size, names_servers)
        await world.play(*context.connections_load)
        return world

    loop = FaultyLoop(SimConfig(reorder=False, max_steps=MAX_STEPS))
    try:
        return loop.run_until_complete(run())
    finally:
        with silent_disposal():
            dispose(loop)


@when(SIZE + " servers of {slots:d} slots, each for {work_s:g} s of work")
def step_send(context, gateways, per_s, seconds, servers, slots, work_s):
    context.connections_size = (gateways, servers, slots, work_s)
    context.connections_load = (per_s, seconds)
    context.connected = play(context, True)


@when("the same requests are sent without naming connected servers")
def step_send_without(context):
    context.unconnected = play(context, False)


@then("at most {most:g} connections were opened for each request")
def step_opened(context, most):
    world = context.connected
    assert world.opened <= most * len(world.times_s), figures(context)


@then("no connected server got more than {slots:d} requests at a time")
def step_slots(context, slots):
    assert max(context.connected.most.values()) <= slots, context.connected.most


@then("requests did not wait longer for a slot or an answer than without the names")
def step_waits(context):
    named, unnamed = context.connected, context.unconnected
    for one, other in ((named.waits_s, unnamed.waits_s), (named.times_s, unnamed.times_s)):
        assert sum(one) / len(one) <= sum(other) / len(other), figures(context)
        assert percentile(one, 0.99) <= percentile(other, 0.99), figures(context)
    assert named.refused <= unnamed.refused, figures(context)


def percentile(values, share):
    return sorted(values)[int(share * (len(values) - 1))]


def figures(context):
    return [
        {
            "opened": round(each.opened / len(each.times_s), 3),
            "requests": len(each.times_s),
            "refused": each.refused,
            "wait_s": [round(each_s, 4) for each_s in summary(each.waits_s)],
            "time_s": [round(each_s, 4) for each_s in summary(each.times_s)],
        }
        for each in (context.connected, context.unconnected)
    ]


def summary(values):
    return sum(values) / len(values), percentile(values, 0.5), percentile(values, 0.99)


# ---- the broker's choice ----


@given("servers with service times of 0.1, 0.12, 0.13 and 0.3 s, of which {free} have a free slot")
def step_servers(context, free):
    context.service_times = dict(zip("abcd", (0.1, 0.12, 0.13, 0.3), strict=True))
    context.free_servers = [make_record(name, Address("h", 1)) for name in free.split()]


@when("a request names {named} as connected")
def step_named(context, named):
    names = [] if named == "none" else named.split()
    context.chosen = prefer_connected(
        context.free_servers[0],
        context.free_servers,
        tuple(server_checksum(each) for each in names),
        lambda server: context.service_times[server.server_id],
    )


@then("it gets server {name}")
def step_chosen(context, name):
    assert context.chosen.server_id == name, context.chosen


# ---- the gateway's names ----


@given("a gateway with idle connections to {count:d} servers, opened one after the other")
def step_idle(context, count):
    context.clock = HandClock()
    world = SimpleNamespace(clock=context.clock)
    context.sender = RequestSender(
        HEADER_NAMES,
        context.clock,
        open_connection=lambda address, _: IdleConnection(world, address),
    )
    context.idle = []
    for number in range(count):
        pool = context.sender._pool(make_record(f"s{number}", Address("h", number), zone="za"))
        connection = pool.create(f"r{number}", 0.0)
        connection.is_open = True
        context.idle.append((pool, connection))
        context.clock.now_s += 0.1
    # Released in another order: the age of the connection counts, not that of its last use.
    for pool, connection in reversed(context.idle):
        pool.release(connection, None)


@then("it names the {count:d} oldest of them for their service and zone, and none for another")
def step_names_oldest(context, count):
    expected = tuple(server_checksum(f"s{number}") for number in range(count))
    assert context.sender.connected_servers("shop", "za") == expected
    assert context.sender.connected_servers("shop", "zb") == ()
    assert context.sender.connected_servers("book", "za") == ()


@when("the oldest connection is in use, the next is closed by its server and a third one expires")
def step_gone(context):
    pools = [pool for pool, _ in context.idle]
    assert pools[0].acquire("r", 0.0) is context.idle[0][1]
    context.idle[1][1].is_open = False
    context.clock.now_s += DEFAULT_KEEP_ALIVE_S
    for pool, connection in context.idle[3:]:
        assert pool.acquire("r", 0.0) is None
        connection.is_open = True
        pool.release(connection, None)


@then("it names the {count:d} others")
def step_names_others(context, count):
    expected = tuple(server_checksum(f"s{number}") for number in range(3, 3 + count))
    assert context.sender.connected_servers("shop", "za") == expected


# ---- the message ----


def slot_request(connected):
    return SlotRequest(
        number=7,
        service="shop",
        zone="za",
        group="g",
        weight=1.0,
        priority=0,
        limit_s=0.5,
        lease_s=1.0,
        may_wait=False,
        connected=connected,
    )


def encoded(connected):
    return encode_datagram(BrokerDatagram("n1", "b1", slot_request(connected)))


@then("a request for a slot with 4 names is read back the same")
def step_codec(context):
    request = slot_request((1, 2, 2**32 - 1, 4))
    assert decode_datagram(encode_datagram(BrokerDatagram("n1", "b1", request))).content == request


@then("4 names cost 18 bytes")
def step_bytes(context):
    context.plain = encoded(())
    assert len(encoded((1, 2, 3, 4))) - len(context.plain) == 18, len(encoded((1, 2, 3, 4)))


@then("a request for a slot without names is encoded as before")
def step_plain(context):
    message = pb.BrokerDatagramMessage.FromString(context.plain)
    assert not message.request.connected
    before = pb.SlotRequestMessage(
        number=7,
        service="shop",
        zone="za",
        group="g",
        weight=1.0,
        limit_ms=500,
        lease_ms=1000,
    )
    assert message.request.SerializeToString() == before.SerializeToString()
