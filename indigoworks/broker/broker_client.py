"""Client side of the broker protocol."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from indigoworks.broker.slot_release import SlotRelease
from indigoworks.broker.slot_reply import SlotOutcome, SlotReply
from indigoworks.broker.slot_request import SlotRequest
from indigoworks.common.clock import Clock
from indigoworks.exchange.peer_address import PeerAddress

REPLY_TIMEOUT_S = 0.05
"""Time without a reply after which a request is sent again. The latency between gateways is up to
3 ms, but a broker that processes a change of 60 servers reads its socket only some 50 ms
later."""

MAX_SENDS = 2
"""Consecutive sends of a request without a reply after which the broker counts as silent."""

QUEUED_RESEND_S = 0.25
"""Interval at which a queued request is sent again, to detect lost replies and ended brokers. A
shorter interval loads brokers with duplicates: at 0.1 s they are a third of all requests."""

RELEASE_RESEND_PAUSES_S = (0.02, 0.04)
"""Pauses before the release of a lock is sent again, as others may wait for the lock."""

Send = Callable[[PeerAddress, SlotRequest | SlotRelease], None]


@dataclass(eq=False)
class _PendingRequest:
    reply: SlotReply | None = None
    arrived: asyncio.Event = field(default_factory=asyncio.Event)


class BrokerClient:
    """Sends requests to brokers and resends them until they are answered.

    :param send: sends a message to a gateway, which may be this one.
    """

    def __init__(self, send: Send, clock: Clock) -> None:
        self._send = send
        self._clock = clock
        self._pending: dict[int, _PendingRequest] = {}
        self._number = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def next_number(self) -> int:
        """Return the number of a new request."""
        self._number += 1
        return self._number

    async def ask(self, broker: PeerAddress, request: SlotRequest) -> SlotReply | None:
        """Return the final reply to a request, or None if the broker does not answer.

        Cancellation withdraws the request.
        """
        pending = self._pending[request.number] = _PendingRequest()
        is_final = False
        try:
            reply = await self._final_reply(broker, request, pending)
            is_final = reply is not None
            return reply
        finally:
            del self._pending[request.number]
            if not is_final:
                self._send(broker, SlotRelease(request.number))

    def release(self, broker: PeerAddress, release: SlotRelease) -> None:
        """Release a slot."""
        self._send(broker, release)

    def release_repeatedly(self, broker: PeerAddress, release: SlotRelease) -> None:
        """Send a release several times, as releases are not acknowledged and may be lost."""
        self._send(broker, release)
        task = asyncio.ensure_future(self._resend_release(broker, release))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Cancel pending resends."""
        for task in self._tasks:
            task.cancel()

    async def _resend_release(self, broker: PeerAddress, release: SlotRelease) -> None:
        for pause_s in RELEASE_RESEND_PAUSES_S:
            await self._clock.sleep(pause_s)
            self._send(broker, release)

    def handle_reply(self, reply: SlotReply) -> None:
        """Pass a reply to its request; ignored if that is no longer pending."""
        pending = self._pending.get(reply.number)
        if pending is not None:
            pending.reply = reply
            pending.arrived.set()

    async def _final_reply(
        self, broker: PeerAddress, request: SlotRequest, pending: _PendingRequest
    ) -> SlotReply | None:
        unanswered = 0
        while unanswered < MAX_SENDS:
            self._send(broker, request)
            reply = await self._next_reply(pending, REPLY_TIMEOUT_S)
            if reply is None:
                unanswered += 1
                continue
            unanswered = 0
            if reply.outcome is SlotOutcome.QUEUED:
                reply = await self._next_reply(pending, QUEUED_RESEND_S)
            if reply is not None and reply.outcome is not SlotOutcome.QUEUED:
                return reply
        return None

    async def _next_reply(self, pending: _PendingRequest, wait_s: float) -> SlotReply | None:
        """Wait for a reply that arrived since the last call; None after `wait_s` seconds."""
        if not pending.arrived.is_set():
            try:
                async with asyncio.timeout(wait_s):
                    await pending.arrived.wait()
            except TimeoutError:
                return None
        pending.arrived.clear()
        return pending.reply
