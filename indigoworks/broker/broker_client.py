"""Requests to brokers."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from indigoworks.broker.slot_release import SlotRelease
from indigoworks.broker.slot_reply import SlotOutcome, SlotReply
from indigoworks.broker.slot_request import SlotRequest
from indigoworks.common.clock import Clock
from indigoworks.exchange.peer_address import PeerAddress

REPLY_TIMEOUT_S = 0.05
"""Longest wait for a reply before a request is sent again: gateways are up to 3 ms apart, and a
broker that takes in a change of 60 servers looks at its socket some 50 ms later."""

MAX_SENDS = 2
"""Sendings of a request without any reply before the broker counts as silent."""

QUEUED_RESEND_S = 0.25
"""A request that waits is sent again so often: lost replies, and brokers that ended, show by it.
Each 0.1 s a third of all requests that a broker read were such repeats (profile of 24 s)."""

RELEASE_RESEND_PAUSES_S = (0.02, 0.04)
"""Pauses before a release that others wait for is sent once more, and once more."""

Send = Callable[[PeerAddress, SlotRequest | SlotRelease], None]


@dataclass(eq=False)
class _PendingRequest:
    reply: SlotReply | None = None
    arrived: asyncio.Event = field(default_factory=asyncio.Event)


class BrokerClient:
    """Sends requests until they are answered.

    :param send: sends a message to a gateway, which may be this one.
    """

    def __init__(self, send: Send, clock: Clock) -> None:
        self._send = send
        self._clock = clock
        self._pending: dict[int, _PendingRequest] = {}
        self._number = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def next_number(self) -> int:
        """Return a number for a new request."""
        self._number += 1
        return self._number

    async def ask(self, broker: PeerAddress, request: SlotRequest) -> SlotReply | None:
        """Return the final reply to a request; None: the broker does not answer.

        Cancelling withdraws the request.
        """
        opened = self._pending[request.number] = _PendingRequest()
        is_final = False
        try:
            reply = await self._final_reply(broker, request, opened)
            is_final = reply is not None
            return reply
        finally:
            del self._pending[request.number]
            if not is_final:
                self._send(broker, SlotRelease(request.number))

    def release(self, broker: PeerAddress, release: SlotRelease) -> None:
        """Give a slot back."""
        self._send(broker, release)

    def release_repeatedly(self, broker: PeerAddress, release: SlotRelease) -> None:
        """Give back what others wait for, and say it again: nobody answers a release."""
        self._send(broker, release)
        task = asyncio.ensure_future(self._resend_release(broker, release))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Say nothing more."""
        for task in self._tasks:
            task.cancel()

    async def _resend_release(self, broker: PeerAddress, release: SlotRelease) -> None:
        for pause_s in RELEASE_RESEND_PAUSES_S:
            await self._clock.sleep(pause_s)
            self._send(broker, release)

    def handle_reply(self, reply: SlotReply) -> None:
        """Take a reply; one that nobody waits for any more is passed over."""
        opened = self._pending.get(reply.number)
        if opened is not None:
            opened.reply = reply
            opened.arrived.set()

    async def _final_reply(
        self, broker: PeerAddress, request: SlotRequest, opened: _PendingRequest
    ) -> SlotReply | None:
        unanswered = 0
        while unanswered < MAX_SENDS:
            self._send(broker, request)
            reply = await self._next_reply(opened, REPLY_TIMEOUT_S)
            if reply is None:
                unanswered += 1
                continue
            unanswered = 0
            if reply.outcome is SlotOutcome.QUEUED:
                reply = await self._next_reply(opened, QUEUED_RESEND_S)
            if reply is not None and reply.outcome is not SlotOutcome.QUEUED:
                return reply
        return None

    async def _next_reply(self, opened: _PendingRequest, wait_s: float) -> SlotReply | None:
        """Return the newest reply since the last call; None: none came in time."""
        if not opened.arrived.is_set():
            try:
                async with asyncio.timeout(wait_s):
                    await opened.arrived.wait()
            except TimeoutError:
                return None
        opened.arrived.clear()
        return opened.reply
