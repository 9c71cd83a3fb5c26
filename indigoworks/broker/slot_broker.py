"""Grants server slots to all gateways that request them."""

import asyncio
from collections.abc import Callable

from eliot import log_message

from indigoworks.broker.broker_queue import BrokerQueue
from indigoworks.broker.lock_table import LockTable
from indigoworks.broker.requester import Requester
from indigoworks.broker.reservation import Reservation
from indigoworks.broker.slot_release import SlotRelease
from indigoworks.broker.slot_reply import SlotOutcome, SlotReply
from indigoworks.broker.slot_request import SlotRequest
from indigoworks.common.clock import Clock
from indigoworks.gateway.placer import Placement
from indigoworks.gateway.refusal import Refusal
from indigoworks.gateway.waiting_request import WaitingRequest

EXPIRY_INTERVAL_S = 0.1
"""Interval between checks for expired reservations."""

LEASE_MARGIN_S = 0.1
"""Extra time for which a slot is reserved after its lease, for the release to arrive."""

IDLE_S = 1.0
"""A broker that was idle for longer starts a new takeover with the next request."""


class SlotBroker:
    """Holds one queue for the servers of each zone, and counts exactly what it has granted.

    Datagrams may be lost, so a duplicate request, which has the same number, gets the last reply
    again. A slot is freed by its release, at the end of its lease, or if the request is withdrawn.

    :param make_queue: returns a new queue for the servers of a zone.
    :ivar is_stopping: set before the process stops; new requests are then declined.
    """

    def __init__(self, make_queue: Callable[[str], BrokerQueue], clock: Clock) -> None:
        self._make_queue = make_queue
        self._clock = clock
        self._queues: dict[str, BrokerQueue] = {}
        self._reservations: dict[tuple[str, int], Reservation] = {}
        self._last_request_s = float("-inf")
        self._is_acting = asyncio.Event()
        self._locks = LockTable(clock)
        self.is_stopping = False

    def handle_request(self, requester: Requester, request: SlotRequest) -> None:
        """Reply to a request; if it is queued, again once it is placed or refused."""
        self._record_activity()
        name = (requester.boot, request.number)
        known = self._reservations.get(name)
        if known is not None:
            requester.send_reply(known.reply)
            return
        if self.is_stopping:
            requester.send_reply(SlotReply(request.number, SlotOutcome.DECLINED))
            return
        if request.suspect_mark:
            self._locks.handle_request(requester, request)
            return
        queue = self._queue_of(request.zone)
        if not request.may_wait and not queue.may_place_at_once(request):
            wait_s = queue.wait_s(request)
            requester.send_reply(SlotReply(request.number, SlotOutcome.FULL, wait_s=wait_s))
            return
        reservation = self._reservations[name] = self._reserve(request, queue)
        placement = queue.queue.place_immediately(reservation.entry)
        if placement is not None:
            self._send_placement(requester, reservation, placement)
            return
        requester.send_reply(reservation.reply)
        reservation.task = asyncio.ensure_future(self._wait(requester, reservation))

    def handle_release(self, boot: str, release: SlotRelease) -> None:
        """Release a slot or lock, or withdraw a request that waits for one."""
        reservation = self._reservations.pop((boot, release.number), None)
        if reservation is None:
            self._locks.handle_release(boot, release)
            return
        if reservation.server is not None and reservation.started is not None:
            begun_s = reservation.started.at_s
            reservation.queue.apply_release(reservation.server, boot, release, begun_s)
        self._end(reservation, release.is_served and not release.verdict.is_fault)

    def servers_changed(self) -> None:
        """Retry placing the queued requests after a change of the servers."""
        for each in self._queues.values():
            each.servers_changed()

    def lift_lock(self, mark: int) -> None:
        """Grant all attempts of a request after the doubts about it were lifted."""
        self._locks.lift(mark)

    def reservation_count(self) -> int:
        """Return the number of requests that are queued or hold a slot."""
        return len(self._reservations)

    async def run(self) -> None:
        """Remove expired reservations and locks, until cancelled."""
        while True:
            # Most gateways of a large group are no brokers: they need no timer.
            await self._is_acting.wait()
            await self._clock.sleep(EXPIRY_INTERVAL_S)
            self._remove_expired()
            if self._is_idle():
                self._is_acting.clear()

    # ---- helpers ----

    def _remove_expired(self) -> None:
        now_s = self._clock.now()
        expired = [name for name, each in self._reservations.items() if each.until_s < now_s]
        for name in expired:
            self._end(self._reservations.pop(name), is_served=False)
        self._locks.remove_expired()
        for queue in self._queues.values():
            queue.refresh()

    def _is_idle(self) -> bool:
        """Return whether nothing that this broker keeps can expire."""
        is_recent = self._clock.now() - self._last_request_s <= IDLE_S
        return not is_recent and not self._reservations and self._locks.is_empty()

    def _record_activity(self) -> None:
        now_s = self._clock.now()
        if now_s - self._last_request_s > IDLE_S:
            log_message(message_type="broker:acting")
            self._is_acting.set()
            self._remove_expired()
            for each in self._queues.values():
                each.load.start_takeover()
        self._last_request_s = now_s

    def _queue_of(self, zone: str) -> BrokerQueue:
        queue = self._queues.get(zone)
        if queue is None:
            queue = self._queues[zone] = self._make_queue(zone)
        return queue

    def _reserve(self, request: SlotRequest, queue: BrokerQueue) -> Reservation:
        now_s = self._clock.now()
        entry = WaitingRequest(
            group=request.group,
            weight=request.weight,
            service=request.service,
            key=request.key,
            caller_mark=request.caller_mark,
            priority=request.priority,
            is_repeatable=request.is_repeatable,
            tried=frozenset(request.tried),
            connected=request.connected,
            limit_s=now_s + request.limit_s,
        )
        until_s = now_s + request.lease_s + LEASE_MARGIN_S
        reply = SlotReply(request.number, SlotOutcome.QUEUED)
        return Reservation(queue, entry, until_s, reply)

    async def _wait(self, requester: Requester, reservation: Reservation) -> None:
        placement = await reservation.queue.queue.wait_for_placement(reservation.entry)
        self._send_placement(requester, reservation, placement)

    def _send_placement(
        self, requester: Requester, reservation: Reservation, placement: Placement
    ) -> None:
        """Record the placement of a request and send it to the requester."""
        number = reservation.reply.number
        if isinstance(placement, Refusal):
            self._reservations.pop((requester.boot, number), None)
            requester.send_reply(SlotReply(number, SlotOutcome.REFUSED, refusal=placement))
            return
        # In the event-loop iteration of the placement: the slot counts from now on.
        reservation.server = placement
        reservation.started = reservation.queue.server_stats.start(placement)
        reservation.reply = SlotReply(
            number,
            SlotOutcome.GRANTED,
            placement.server_id,
            wants_trials=reservation.queue.outliers.has_any(),
        )
        requester.send_reply(reservation.reply)

    def _end(self, reservation: Reservation, is_served: bool) -> None:
        if reservation.server is None or reservation.started is None:
            assert reservation.task is not None
            reservation.task.cancel()
            return
        reservation.queue.server_stats.finish(reservation.server, reservation.started, is_served)
        reservation.queue.queue.release(reservation.entry, reservation.started)
