"""Steps on how often a request is offered to peers."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when
from gateway_world import HOST, make_route

from indigoworks.common.address import Address
from indigoworks.common.clock import LoopClock
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.forwarding.forward_failure import ForwardFailure
from indigoworks.gateway.client_request import ClientRequest
from indigoworks.gateway.request_forwarding import RequestForwarding
from indigoworks.gateway.request_state import RequestState
from indigoworks.routes.service import Service

WAIT_S = 5.0
PEERS = [PeerAddress(name, "b", "z", Address(HOST, 1)) for name in ("p1", "p2")]


class SilentPeers:
    """Takes requests and brings no reply."""

    def __init__(self) -> None:
        self.offered = []

    def in_progress(self, node):
        return 0

    async def send(self, peer, request, timeout_s):
        self.offered.append(peer.node)
        return ForwardFailure.NO_REPLY


async def no_wait(timeout_s):
    await asyncio.sleep(0)


def reach():
    down = SimpleNamespace(has_any=lambda: True, is_down=lambda server_id: True)
    peers = SimpleNamespace(peers_reaching=lambda servers: PEERS, wait_for_reply=no_wait)
    return SimpleNamespace(down=down, peers=peers)


@given("a {kind} request of a route with at most {most:d} attempts whose servers only peers reach")
def request_of_route(context, kind, most):
    async def run():
        request = ClientRequest(
            "r", "GET", "h", "/x", (), b"", WAIT_S, None, asyncio.get_running_loop().time()
        )
        route = make_route(is_repeatable=kind == "safe", max_attempts=most)
        context.state = RequestState(request, route, Service("shop", False, 0, 0.0, ""), 1)

    context.run_async(run())


@when("both peers bring no reply")
def no_reply(context):
    context.silent = SilentPeers()
    servers = SimpleNamespace(usable=lambda service: [SimpleNamespace(server_id="s")])
    forwarding = RequestForwarding(
        reach(),
        servers,
        None,
        context.silent,
        None,
        SimpleNamespace(try_consume=lambda service: True),
        SimpleNamespace(lost=lambda state, detail: "lost"),
        "z",
        SimpleNamespace(forwarded=lambda *fields: None),
        LoopClock(),
    )

    async def run():
        final = None
        while final is None and await forwarding.is_due(context.state):
            final = await forwarding.forward(context.state)
        return final

    context.final = context.run_async(run())


@then("it was offered to {count:d} of them and then lost")
def offered(context, count):
    assert len(context.silent.offered) == count, context.silent.offered
    assert context.state.may_have_run
    assert context.final == "lost" or count == len(PEERS)
