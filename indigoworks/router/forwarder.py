"""Forwards requests to the routers that dispatch to the owners."""

import asyncio
from collections import Counter

from eliot import log_message
from result import Err, Result

from indigoworks.common.clock import Clock
from indigoworks.router import refusals
from indigoworks.router.dispatch_request import DispatchRequest
from indigoworks.router.dispatcher import DispatchResult
from indigoworks.router.errors import RouterError
from indigoworks.router.forward_codec import dispatch_result, forward_request
from indigoworks.router.peer_monitor import PeerMonitor
from indigoworks.router.router_peer import RouterPeer
from indigoworks.wire import control_pb2
from indigoworks.wire.errors import CallTimedOut, ConnectFailed, RefusedByPeer, WireError
from indigoworks.wire.rpc_client import RpcClient

FORWARD_GRACE_S = 0.1
"""Time past the deadline during which the dispatcher's own result is still awaited."""

PROBE_INTERVAL_S = 0.3
"""Interval at which the dispatcher of a waiting repeatable request is probed."""

CANCEL_TIMEOUT_S = 0.5
"""Timeout of a cancellation message."""


class Forwarder:
    """Forwards requests over one connection to each peer router."""

    def __init__(self, clock: Clock, monitor: PeerMonitor, group_id: int = 0) -> None:
        self._clock = clock
        self._monitor = monitor
        self._group_id = group_id
        self._clients: dict[RouterPeer, RpcClient] = {}
        self._calls: Counter[RouterPeer] = Counter()
        self._cancellations: set[asyncio.Task[None]] = set()

    async def forward(self, peer: RouterPeer, request: DispatchRequest) -> DispatchResult:
        """Have `peer` dispatch the request, and return its result.

        Cancellation is forwarded to the peer. A lost reply results in AnswerLost: the peer may
        have sent the request to the owner.
        """
        client = self._client(peer)
        if not await self._monitor.is_reachable(peer, client):
            return Err(refusals.dispatcher_unreachable(peer.name, "it does not answer probes."))
        remaining_s = request.deadline_s - self._clock.now()
        frame = self._frame(peer, request, remaining_s)
        try:
            called = await self._call(peer, client, frame, remaining_s + FORWARD_GRACE_S)
        except asyncio.CancelledError:
            self._cancel_at(client, request.owned.request_id)
            raise
        if isinstance(called, Err):
            return Err(self._failure(peer, client, request, called.unwrap_err()))
        reply = called.unwrap()
        if reply.WhichOneof("payload") != "forward_reply":
            return Err(refusals.answer_lost(f"router {peer.name} sent an unexpected message."))
        self._monitor.record_reply(peer, reply.forward_reply.clock_s)
        return dispatch_result(reply.forward_reply)

    def keep_only(self, peers: tuple[RouterPeer, ...]) -> None:
        """Close the idle connections to all other routers.

        A stopping router leaves the list before it has answered all requests, so its connection
        is kept until then.
        """
        for peer in set(self._clients) - set(peers):
            if not self._calls[peer]:
                self._clients.pop(peer).close()

    async def stop(self) -> None:
        """Wait for pending cancellations and close all connections."""
        await asyncio.gather(*self._cancellations, return_exceptions=True)
        for client in self._clients.values():
            client.close()

    def _frame(
        self, peer: RouterPeer, request: DispatchRequest, remaining_s: float
    ) -> control_pb2.Frame:
        message = forward_request(request, remaining_s)
        message.dispatcher_incarnation = peer.incarnation
        deadline_clock_s = self._monitor.peer_deadline(peer, request.deadline_s)
        if deadline_clock_s is not None:
            message.deadline_clock_s = deadline_clock_s
        return control_pb2.Frame(forward_request=message)

    def _client(self, peer: RouterPeer) -> RpcClient:
        client = self._clients.get(peer)
        if client is None:
            client = self._clients[peer] = RpcClient(peer.address, self._group_id)
        return client

    async def _call(
        self, peer: RouterPeer, client: RpcClient, frame: control_pb2.Frame, timeout_s: float
    ) -> Result[control_pb2.Frame, WireError]:
        call = asyncio.ensure_future(client.call(frame, timeout_s))
        self._calls[peer] += 1
        try:
            while True:
                await asyncio.wait({call}, timeout=PROBE_INTERVAL_S)
                if call.done():
                    return call.result()
                if self._may_give_up(frame) and not await self._monitor.is_alive(peer, client):
                    return Err(_silent(peer))
        finally:
            call.cancel()
            self._calls[peer] -= 1

    def _may_give_up(self, frame: control_pb2.Frame) -> bool:
        """Giving up on a silent dispatcher saves time only if the request may be retried."""
        return frame.forward_request.is_repeatable

    def _failure(
        self, peer: RouterPeer, client: RpcClient, request: DispatchRequest, error: WireError
    ) -> RouterError:
        self._monitor.mark_suspect(peer)
        log_message(
            message_type="router:forward_failed",
            request_id=request.owned.request_id,
            router=peer.name,
            kind=error.kind,
        )
        if isinstance(error, ConnectFailed | RefusedByPeer):
            return refusals.dispatcher_unreachable(peer.name, error.message)
        self._cancel_at(client, request.owned.request_id)
        return refusals.answer_lost(error.message)

    def _cancel_at(self, client: RpcClient, request_id: str) -> None:
        task = asyncio.ensure_future(self._send_cancellation(client, request_id))
        self._cancellations.add(task)
        task.add_done_callback(self._cancellations.discard)

    async def _send_cancellation(self, client: RpcClient, request_id: str) -> None:
        cancel = control_pb2.CancelRequest(request_id=request_id)
        await client.call(control_pb2.Frame(cancel_request=cancel), CANCEL_TIMEOUT_S)


def _silent(peer: RouterPeer) -> CallTimedOut:
    return CallTimedOut(
        f"Router {peer.name} does not answer probes.",
        "Check the load of that router and the network path to it.",
    )
