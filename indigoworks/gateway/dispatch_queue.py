"""Places requests at servers, and queues those for which no server has capacity."""

import asyncio
from itertools import islice

from indigoworks.common.clock import Clock
from indigoworks.gateway.admission_control import AdmissionControl, LoadCache
from indigoworks.gateway.capacity_tracker import CapacityTracker
from indigoworks.gateway.owner_lookup import OwnerLookup
from indigoworks.gateway.owner_outages import OWNER_POLL_S, OwnerOutages
from indigoworks.gateway.placement_queue import REVIEWS_PER_CHANGE, PlacementQueue
from indigoworks.gateway.placement_queues import PlacementQueues
from indigoworks.gateway.placer import Placement
from indigoworks.gateway.queue_timers import QueueTimers
from indigoworks.gateway.refusal import Refusal
from indigoworks.gateway.request_hold import RequestHold
from indigoworks.gateway.server_selector import ServerSelector
from indigoworks.gateway.server_stats import RequestStart, ServerStats
from indigoworks.gateway.waiting_request import WaitingRequest
from indigoworks.servers.server_record import ServerRecord


class DispatchQueue:
    """Gives each request a server with capacity, or refuses it if it would be answered too late.

    The lowest `priority` goes first; within a priority, slots are shared fairly among groups. A
    request waits only while it is expected to be answered within its limit, estimated from the
    requests in flight from all gateways, those ahead of it in the queue, and measured service
    times. Requests for a key wait for its owner, others for any server of their service.

    :ivar admission: estimates of waiting times, and scheduled retries.
    :param counts_all: every request to the servers is placed by this object. Capacity is then freed
        only by the end of such a request, and only for the queue of the same server. Serving all
        queues after each end took a third of the CPU time of a broker with 20 owners.
    """

    def __init__(
        self,
        selector: ServerSelector,
        owners: OwnerLookup,
        server_stats: ServerStats,
        capacity: CapacityTracker,
        clock: Clock,
        counts_all: bool = False,
    ) -> None:
        self._selector = selector
        self._outages = OwnerOutages(owners, server_stats, clock)
        self.admission = AdmissionControl(
            selector, owners, self._outages, server_stats, capacity, clock
        )
        self._server_stats = server_stats
        self._clock = clock
        self._queues = PlacementQueues()
        self._waiting: dict[str, int] = {}
        self._capacity = capacity
        self._counts_all = counts_all
        self._timers = QueueTimers(self._serve)
        self._hold = RequestHold(selector, self._timers, clock)
        self._sequence = 0

    async def place(self, entry: WaitingRequest) -> Placement:
        """Return a server with capacity, or a refusal.

        After a placement the caller must call `release` when the request has ended.
        """
        placement = self.place_immediately(entry)
        return await self.wait_for_placement(entry) if placement is None else placement

    def place_immediately(self, entry: WaitingRequest) -> Placement | None:
        """Place a request without waiting; None if `wait_for_placement` has to be awaited."""
        self._sequence += 1
        entry.sequence = self._sequence
        self._enqueue(entry)
        if not entry.placement.done():
            self._waiting[entry.service] = self._waiting.get(entry.service, 0) + 1
            return None
        return self._take_placement(entry)

    async def wait_for_placement(self, entry: WaitingRequest) -> Placement:
        """Wait for the placement of a request that `place_immediately` has queued."""
        try:
            await self._wait(entry)
        except asyncio.CancelledError:
            self._withdraw(entry)
            raise
        finally:
            self._waiting[entry.service] -= 1
        return self._take_placement(entry)

    def _take_placement(self, entry: WaitingRequest) -> Placement:
        placement = entry.placement.result()
        # The caller counts the request as in flight right after this.
        if isinstance(placement, ServerRecord):
            self._capacity.release_reservation(placement)
        return placement

    def release(self, entry: WaitingRequest, started: RequestStart) -> None:
        """Release the server of a request that was sent at `started`.

        Its group is charged with the time since then, less the time queued at the server.
        """
        server = entry.placement.result()
        if isinstance(server, ServerRecord):
            queued_s = (started.rounds - 1) * self._server_stats.service_time_s(server)
            self._release(entry, max(0.0, self._clock.now() - started.at_s - queued_s))

    def capacity_changed(self) -> None:
        """Place or refuse waiting requests after a change of owners or servers."""
        self.admission.invalidate_loads()
        self._outages.close_ended()
        for queue in self._queues.all():
            self._serve(queue)
            self._refuse_late_in(queue)
        for entry in self._queues.all_ownerless():
            self._reassess(entry)

    def waiting_by_service(self) -> dict[str, int]:
        """Return the number of waiting requests, by service that ever had one."""
        return dict(self._waiting)

    async def _wait(self, entry: WaitingRequest) -> None:
        """Wait for a placement while a response is expected within the request's limit."""
        while not entry.placement.done():
            left_s = entry.limit_s - self._clock.now()
            if left_s <= 0:
                self._refuse_if(entry, self.admission.timeout_refusal(entry))
                break
            if entry.queue is None:
                left_s = min(left_s, OWNER_POLL_S)
            await asyncio.wait({entry.placement}, timeout=left_s)
            self._reassess(entry)

    # ---- queueing ----

    def _enqueue(self, entry: WaitingRequest) -> None:
        if self.admission.claim_scheduled_retry(entry):
            entry.mark_scheduled_retry()
        self._queues.add(entry, self.admission.ready_owner(entry))
        queue = self._serve_queue_of(entry)
        if queue is not None:
            cost_s = self._server_stats.mean_service_time_s(queue.service)
            self._refuse_late(entry, queue.count_before_last(entry, cost_s), {})

    def _serve_queue_of(self, entry: WaitingRequest) -> PlacementQueue | None:
        """Place what can be placed; return the queue in which the request still waits, or None."""
        queue = entry.queue
        if queue is None:
            self._refuse_if(entry, self.admission.refusal_without_owner(entry))
            return None
        self._serve(queue)
        return None if entry.placement.done() else entry.queue

    def _reassess(self, entry: WaitingRequest) -> None:
        """Place or refuse a waiting request whose owner may have changed."""
        if entry.placement.done():
            return
        if is_moved := not self._is_in_owner_queue(entry):
            self._queues.remove(entry)
            self._queues.add(entry, self.admission.ready_owner(entry))
        queue = self._serve_queue_of(entry)
        if is_moved and queue is not None:
            self._refuse_late_in(queue)

    def _is_in_owner_queue(self, entry: WaitingRequest) -> bool:
        owner = self.admission.ready_owner(entry)
        server_id = None if owner is None else owner.server_id
        return server_id == (None if entry.queue is None else entry.queue.server_id)

    def _requeue(self, entry: WaitingRequest) -> None:
        """Move a request whose owner changed to its new queue, and reassess it right afterwards."""
        self._queues.remove(entry)
        self._queues.add(entry, self.admission.ready_owner(entry))
        asyncio.get_running_loop().call_soon(self._reassess, entry)

    # ---- placement ----

    def _serve(self, queue: PlacementQueue) -> None:
        """Place requests from the head of a queue while servers have capacity."""
        if queue.server_id is not None:
            self._serve_owned(queue)
        elif queue:
            usable = self._selector.usable(queue.service)
            self._serve_any(queue, usable)
            self._await_permit(queue, usable)

    def _serve_any(self, queue: PlacementQueue, usable: list[ServerRecord]) -> None:
        free = self._capacity.with_capacity(usable)
        while free and (entry := queue.head()) is not None:
            servers = self._selector.candidates(entry, free)
            if not servers or self._is_reserved(queue, entry, usable):
                return
            if (chosen := self._hold.select(queue, entry, servers)) is None:
                return
            self._grant(queue, entry, chosen)
            if chosen in free and not self._capacity.has_capacity(chosen):
                free.remove(chosen)

    def _serve_owned(self, queue: PlacementQueue) -> None:
        while (entry := queue.head()) is not None:
            owner = self.admission.ready_owner(entry)
            if owner is None or owner.server_id != queue.server_id:
                self._requeue(entry)
            elif (refusal := self._selector.refusal_of_owner(entry, owner)) is not None:
                self._refuse(entry, refusal)
            elif self._capacity.has_capacity(owner) and not self._is_reserved(
                queue, entry, [owner]
            ):
                self._grant(queue, entry, owner)
            else:
                self._await_permit(queue, [owner])
                return

    def _is_reserved(
        self, queue: PlacementQueue, entry: WaitingRequest, servers: list[ServerRecord]
    ) -> bool:
        """Return whether the next permit is reserved for a scheduled retry; sets a timer if so."""
        if entry.is_scheduled_retry or not self._capacity.has_rate_limits():
            return False
        reserved_s = self.admission.reserved_for_s(queue.name, servers)
        self._timers.schedule(queue, reserved_s)
        return reserved_s > 0

    def _await_permit(self, queue: PlacementQueue, servers: list[ServerRecord]) -> None:
        """Serve a queue again at the next permit of its servers, which no event announces."""
        self._timers.schedule(queue, self._capacity.permit_in_s(servers) if queue else 0.0)

    def _grant(self, queue: PlacementQueue, entry: WaitingRequest, server: ServerRecord) -> None:
        queue.grant(entry, self._server_stats.service_time_s(server))
        self.admission.cancel_scheduled_retry(entry)
        entry.placement.set_result(server)
        self._capacity.reserve(server)

    def _release(self, entry: WaitingRequest, cost_s: float) -> None:
        queue = entry.queue
        if queue is None:
            return
        queue.settle(entry, cost_s)
        entry.queue = None
        if self._waiting.get(queue.service):
            if self._counts_all:
                self._serve_and_review(queue)
            else:
                self._serve_service(queue.service)
        self._queues.drop_if_idle(queue)

    def _serve_and_review(self, queue: PlacementQueue) -> None:
        """Serve a queue, and from time to time refuse the requests in it that would be late."""
        if not queue:
            return
        self._serve(queue)
        if queue and queue.is_review_due():
            self._refuse_late_in(queue)

    def _serve_service(self, service: str) -> None:
        """Serve all queues of a service: other gateways free capacity too, and owners return.

        The work is proportional to the number of queues, not of waiting requests.
        """
        for queue in self._queues.of_service(service):
            self._serve_and_review(queue)
        for entry in list(islice(self._queues.ownerless(service), REVIEWS_PER_CHANGE)):
            self._reassess(entry)
            # Check other requests first after the next change.
            self._queues.move_to_end(entry)

    def _withdraw(self, entry: WaitingRequest) -> None:
        """Remove a cancelled request, and release its server if it had been placed already."""
        if not entry.placement.done():
            entry.placement.cancel()
            self._queues.remove(entry)
            return
        if isinstance(placement := entry.placement.result(), ServerRecord):
            self._capacity.release_reservation(placement)
            self._release(entry, 0.0)

    # ---- refusals ----

    def _refuse_late_in(self, queue: PlacementQueue) -> None:
        """Refuse the requests of a queue, in order, that can no longer be answered in time."""
        ahead = 0
        loads: LoadCache = {}
        for entry in list(queue.in_order(self._server_stats.mean_service_time_s(queue.service))):
            if not self._is_in_owner_queue(entry):
                self._requeue(entry)
            elif not self._refuse_late(entry, ahead, loads):
                ahead += 1

    def _refuse_late(self, entry: WaitingRequest, ahead: int, loads: LoadCache) -> bool:
        return self._refuse_if(entry, self.admission.refusal_if_late(entry, ahead, loads))

    def _refuse_if(self, entry: WaitingRequest, refusal: Refusal | None) -> bool:
        if refusal is None:
            return False
        self._refuse(entry, refusal)
        return True

    def _refuse(self, entry: WaitingRequest, refusal: Refusal) -> None:
        self._queues.remove(entry)
        entry.placement.set_result(refusal)
