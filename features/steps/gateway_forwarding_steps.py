"""Steps on requests that are forwarded to peers, and on lost paths."""

import asyncio
from random import Random

from behave import given, then, when
from gateway_world import HOST, free_port, make_record

from indigoworks.common.address import Address
from indigoworks.common.clock import LoopClock
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.exchange.peer_server import PeerServer
from indigoworks.forwarding.forward_client import FORWARD_PATH, ForwardClient
from indigoworks.forwarding.forward_failure import ForwardFailure
from indigoworks.forwarding.forward_reply import ForwardOutcome, ForwardReply
from indigoworks.forwarding.forward_request import ForwardRequest
from indigoworks.forwarding.forward_server import MAX_REQUESTS, ForwardServer
from indigoworks.reach.path_monitor import PathMonitor
from indigoworks_lab.crash_simulation.explore_paths import run_paths

TIMEOUT_S = 5.0
MOMENT_S, SHORT_S, LONG_S = 0.05, 0.002, 60.0
ZONES = ("z1", "z2", "z3")
SERVERS_PER_ZONE = 3

REQUEST = ForwardRequest(
    "r1",
    "POST",
    "shop.example",
    "/a/b?c=%20d",
    (("X-A", "1"), ("X-A", "2"), ("Accept", "\xe9")),
    b"\0body\xff",
    1.25,
    77,
    0.5,
    "10.0.0.9",
    "desk",
    12,
    ("s1", "s2"),
)
REPLY = ForwardReply(
    ForwardOutcome.REFUSED, 503, (("Retry-After", "0.2"),), b"no\0", "overload", 0.2, 13, ("s3",)
)


def request_of(size):
    return ForwardRequest("r", "POST", "h", "/x", (), b"x" * size, 2.0, None, 0.0, "c", "desk", 1)


def peer_at(port):
    return PeerAddress("peer", "b", "z", Address(HOST, port))


def send(context, request):
    async def run():
        return await ForwardClient(LoopClock()).send(context.peer, request, TIMEOUT_S)

    context.forwarded = context.run_async(run())


# ---- hops that break ----


@given("a peer that closes its connections {moment}")
def closing_peer(context, moment):
    async def serve(reader, writer):
        if moment.startswith("once"):
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r")[0])
            await reader.readexactly(length)
        writer.transport.abort()

    async def run():
        listener = await asyncio.start_server(serve, HOST, free_port())
        context.peer = peer_at(listener.sockets[0].getsockname()[1])
        if "refusing" in moment:
            listener.close()
            await listener.wait_closed()
        else:
            context.listener = listener

    context.run_async(run())


@when("an unsafe request with a body of {size:d} bytes is forwarded to it")
def forward_sized(context, size):
    send(context, request_of(size))


@then("forwarding it ends with {result}")
def forwarded_result(context, result):
    got = context.forwarded
    if isinstance(got, ForwardFailure):
        assert got.value == result, got
    else:
        assert f"{got.outcome.value} for {got.reason}" == result, got


# ---- peers that take requests ----


class Peer:
    """Takes forwarded requests; `hold` keeps them in hand."""

    def __init__(self) -> None:
        self.seen = []
        self.is_cancelled = False
        self.hold = False
        self.server = ForwardServer(self._handle)

    async def start(self) -> PeerAddress:
        port = free_port()
        PeerServer(Address(HOST, port), {FORWARD_PATH: self.server.handle}).start()
        return peer_at(port)

    async def _handle(self, request):
        self.seen.append(request)
        try:
            while self.hold:  # noqa: ASYNC110
                await asyncio.sleep(MOMENT_S)
        except asyncio.CancelledError:
            self.is_cancelled = True
            raise
        return REPLY


@given("a peer that takes forwarded requests")
def taking_peer(context):
    context.taking = Peer()
    context.peer = context.run_async(context.taking.start())


@given("a peer that takes forwarded requests and is stopping")
def stopping_peer(context):
    taking_peer(context)
    context.taking.server.is_stopping = True


@given("a peer that takes forwarded requests and has its most requests in hand")
def busy_peer(context):
    taking_peer(context)
    context.taking.hold = True

    async def fill():
        client = ForwardClient(LoopClock())
        context.sending = []
        while len(context.taking.seen) < MAX_REQUESTS:
            sending = client.send(context.peer, request_of(1), LONG_S)
            context.sending.append(asyncio.ensure_future(sending))
            await asyncio.sleep(SHORT_S)
        context.taking.seen.clear()

    context.run_async(fill())


@when("a request with every field set is forwarded to it")
def forward_full(context):
    send(context, REQUEST)


@then("the peer saw each field as it was sent, and the sender each field of the reply")
def same_fields(context):
    assert context.taking.seen == [REQUEST], context.taking.seen
    assert context.forwarded == REPLY, context.forwarded


@when("a request is forwarded to it and its caller leaves")
def forward_and_leave(context):
    context.taking.hold = True

    async def run():
        sending = asyncio.ensure_future(
            ForwardClient(LoopClock()).send(context.peer, REQUEST, TIMEOUT_S)
        )
        while not context.taking.seen:  # noqa: ASYNC110
            await asyncio.sleep(MOMENT_S)
        sending.cancel()
        await asyncio.wait({sending})

    context.run_async(run())


@then("the peer stops working on it")
def peer_stops(context):
    async def run():
        async with asyncio.timeout(TIMEOUT_S):
            while not context.taking.is_cancelled:  # noqa: ASYNC110
                await asyncio.sleep(MOMENT_S)

    context.run_async(run())


@then("the peer worked on nothing")
def worked_on_nothing(context):
    assert not context.taking.seen


# ---- lost paths ----


class Fleet:
    """Servers of which some accept connections."""

    def __init__(self, accepting_zones) -> None:
        self.accepting = set(accepting_zones)
        self.accepts_all = False
        address = Address(HOST, 1)
        self.servers = [
            make_record(f"{zone}-{number}", address, zone=zone)
            for zone in ZONES
            for number in range(SERVERS_PER_ZONE)
        ]

    async def can_connect(self, server):
        await asyncio.sleep(0)
        return self.accepts_all or server.zone in self.accepting


ACCEPTING = {"all others accept": ZONES, "those of two accept": ZONES[1:], "none accepts": ()}


@given("servers in three zones, of which {reached}")
def fleet(context, reached):
    context.fleet = Fleet(ACCEPTING[reached])


@when("{count:d} of the others fail")
def servers_fail(context, count):
    async def run():
        fleet = context.fleet
        context.path = PathMonitor(
            lambda: fleet.servers, fleet.can_connect, fleet.can_connect, LoopClock(), Random(1)
        )
        for server in fleet.servers[:count]:
            context.path.record_failure(server.server_id, is_silent=False)
        await asyncio.sleep(MOMENT_S)

    context.run_async(run())


@then("the path of the gateway is {verdict}")
def path_verdict(context, verdict):
    assert context.path.is_lost is (verdict == "lost")


@when("all servers accept connections again")
def all_accept(context):
    assert context.path.is_lost
    context.fleet.accepts_all = True


@then("the gateway finds its path again")
def path_back(context):
    async def run():
        async with asyncio.timeout(TIMEOUT_S):
            while context.path.is_lost:  # noqa: ASYNC110
                await asyncio.sleep(MOMENT_S)

    context.run_async(run())


# ---- simulated runs ----


@when("the simulated run of lost paths of seed {seed:d} is played")
def play_paths(context, seed):
    context.path_run = run_paths(seed)


@then("the run of lost paths broke nothing")
def path_run_sound(context):
    assert not context.path_run.breaches(), context.path_run
