"""Places requests at servers, and keeps those back for which there is no room."""

import asyncio
from itertools import islice

from indigoworks.common.clock import Clock
from indigoworks.gateway import queue_refusals
from indigoworks.gateway.admission_control import AdmissionControl, LoadCache
from indigoworks.gateway.capacity_tracker import CapacityTracker
from indigoworks.gateway.owner_lookup import OwnerLookup
from indigoworks.gateway.owner_outages import OWNER_POLL_S, OwnerOutages
from indigoworks.gateway.placement_queue import REVIEWS_PER_CHANGE, PlacementQueue
from indigoworks.gateway.placement_queues import PlacementQueues
from indigoworks.gateway.placer import Placement
from indigoworks.gateway.queue_timers import QueueTimers
from indigoworks.gateway.refusal import Refusal
from indigoworks.gateway.server_selector import ServerSelector
from indigoworks.gateway.server_stats import RequestStart, ServerStats
from indigoworks.gateway.waiting_request import WaitingRequest
from indigoworks.servers.server_record import ServerRecord


class DispatchQueue:
    """Gives each request a server with room, and refuses what cannot be in time.

    The urgent go first; those of one priority share the slots fairly among their groups. A request
    waits only while it is expected to be answered within its limit; the expectation comes from the
    requests in flight at all gateways, those that go before it here, and the measured time of one.
    Requests for a key wait at its owner, the others at their service.

    :ivar expectation: when requests are likely to be answered, and the turns that are promised.
    :param counts_all: every request to its servers is placed here: room comes only with the end of
        one of these, and only for those who wait for the same server. Looking at all lines after
        each end took a third of the time of a broker with 20 owners.
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
        self._sequence = 0

    async def place(self, entry: WaitingRequest) -> Placement:
        """Return a server with room, or why there is none.

        Whoever gets a server calls `release` when the request has left it.
        """
        placement = self.place_immediately(entry)
        return await self.wait_for_placement(entry) if placement is None else placement

    def place_immediately(self, entry: WaitingRequest) -> Placement | None:
        """Return the same where that is known without waiting; None: `wait_for_place` goes on."""
        self._sequence += 1
        entry.sequence = self._sequence
        self._enqueue(entry)
        if not entry.placement.done():
            self._waiting[entry.service] = self._waiting.get(entry.service, 0) + 1
            return None
        return self._take_placement(entry)

    async def wait_for_placement(self, entry: WaitingRequest) -> Placement:
        """Return the same for a request that waits since `place_at_once`."""
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
        # Right after this the request counts at its server.
        if isinstance(placement, ServerRecord):
            self._capacity.release_reservation(placement)
        return placement

    def release(self, entry: WaitingRequest, started: RequestStart) -> None:
        """Take back the place of a request, which it has had since `started`.

        Its group is charged with what is left of that time without the wait at the server.
        """
        server = entry.placement.result()
        if isinstance(server, ServerRecord):
            queued_s = (started.rounds - 1) * self._server_stats.service_time_s(server)
            self._release(entry, max(0.0, self._clock.now() - started.at_s - queued_s))

    def capacity_changed(self) -> None:
        """Place or refuse what waits: owners or servers changed."""
        self.admission.invalidate_loads()
        self._outages.close_ended()
        for line in self._queues.all():
            self._serve(line)
            self._refuse_late_in(line)
        for entry in self._queues.all_ownerless():
            self._reassess(entry)

    def waiting_by_service(self) -> dict[str, int]:
        """Return how many requests wait, for each service that ever had one waiting."""
        return dict(self._waiting)

    async def _wait(self, entry: WaitingRequest) -> None:
        """Wait for a place while an answer is expected within the request's limit."""
        while not entry.placement.done():
            left_s = entry.limit_s - self._clock.now()
            if left_s <= 0:
                self._refuse_if(entry, self.admission.timeout_refusal(entry))
                break
            if entry.queue is None:
                left_s = min(left_s, OWNER_POLL_S)
            await asyncio.wait({entry.placement}, timeout=left_s)
            self._reassess(entry)

    # ---- where a request waits ----

    def _enqueue(self, entry: WaitingRequest) -> None:
        if self.admission.claim_scheduled_retry(entry):
            entry.mark_scheduled_retry()
        self._queues.add(entry, self.admission.ready_owner(entry))
        line = self._serve_queue_of(entry)
        if line is not None:
            cost_s = self._server_stats.mean_service_time_s(line.service)
            self._refuse_late(entry, line.count_before_last(entry, cost_s), {})

    def _serve_queue_of(self, entry: WaitingRequest) -> PlacementQueue | None:
        """Return the line in which a request still waits after the free places are given."""
        line = entry.queue
        if line is None:
            self._refuse_if(entry, self.admission.refusal_without_owner(entry))
            return None
        self._serve(line)
        return None if entry.placement.done() else entry.queue

    def _reassess(self, entry: WaitingRequest) -> None:
        """Place or refuse a request that waits where its owner perhaps no longer is."""
        if entry.placement.done():
            return
        if is_moved := not self._is_in_owner_queue(entry):
            self._queues.remove(entry)
            self._queues.add(entry, self.admission.ready_owner(entry))
        line = self._serve_queue_of(entry)
        if is_moved and line is not None:
            self._refuse_late_in(line)

    def _is_in_owner_queue(self, entry: WaitingRequest) -> bool:
        owner = self.admission.ready_owner(entry)
        server_id = None if owner is None else owner.server_id
        return server_id == (None if entry.queue is None else entry.queue.server_id)

    def _requeue(self, entry: WaitingRequest) -> None:
        """Its owner is another one, or none: it goes there, and is looked at after this turn."""
        self._queues.remove(entry)
        self._queues.add(entry, self.admission.ready_owner(entry))
        asyncio.get_running_loop().call_soon(self._reassess, entry)

    # ---- places ----

    def _serve(self, line: PlacementQueue) -> None:
        """Give free places to those whose turn it is."""
        if line.server_id is not None:
            self._serve_owned(line)
        elif line:
            usable = self._selector.usable(line.service)
            self._serve_any(line, usable)
            self._await_permit(line, usable)

    def _serve_any(self, line: PlacementQueue, usable: list[ServerRecord]) -> None:
        free = self._capacity.with_capacity(usable)
        while free and (entry := line.head()) is not None:
            servers = [each for each in free if each.server_id not in entry.tried]
            if not servers or self._is_reserved(line, entry, usable):
                return
            self._grant(line, entry, chosen := self._selector.select(servers))
            if not self._capacity.has_capacity(chosen):
                free.remove(chosen)

    def _serve_owned(self, line: PlacementQueue) -> None:
        while (entry := line.head()) is not None:
            owner = self.admission.ready_owner(entry)
            if owner is None or owner.server_id != line.server_id:
                self._requeue(entry)
            elif self._capacity.is_paced_elsewhere(owner):
                self._refuse(entry, queue_refusals.paced_by_broker(owner.server_id))
            elif self._capacity.has_capacity(owner) and not self._is_reserved(line, entry, [owner]):
                self._grant(line, entry, owner)
            else:
                self._await_permit(line, [owner])
                return

    def _is_reserved(
        self, line: PlacementQueue, entry: WaitingRequest, servers: list[ServerRecord]
    ) -> bool:
        """Tell whether the next turn is another caller's; the line is looked at again after it."""
        if entry.is_scheduled_retry or not self._capacity.has_rate_limits():
            return False
        kept_s = self.admission.reserved_for_s(line.name, servers)
        if kept_s > 0:
            self._timers.schedule(line, kept_s)
        return kept_s > 0

    def _await_permit(self, line: PlacementQueue, servers: list[ServerRecord]) -> None:
        """Look at a line again at the next turn of its servers: no request need end by then."""
        turn_s = self._capacity.permit_in_s(servers) if line else 0.0
        if turn_s > 0:
            self._timers.schedule(line, turn_s)

    def _grant(self, line: PlacementQueue, entry: WaitingRequest, server: ServerRecord) -> None:
        line.grant(entry, self._server_stats.service_time_s(server))
        self.admission.cancel_scheduled_retry(entry)
        entry.placement.set_result(server)
        self._capacity.reserve(server)

    def _release(self, entry: WaitingRequest, cost_s: float) -> None:
        line = entry.queue
        if line is None:
            return
        line.settle(entry, cost_s)
        entry.queue = None
        if self._waiting.get(line.service):
            if self._counts_all:
                self._serve_and_review(line)
            else:
                self._serve_service(line.service)
        self._queues.drop_if_idle(line)

    def _serve_and_review(self, line: PlacementQueue) -> None:
        """Give free places to what waits in a line, and now and then refuse what will be late."""
        if not line:
            return
        self._serve(line)
        if line and line.is_review_due():
            self._refuse_late_in(line)

    def _serve_service(self, service: str) -> None:
        """Look at all that waits for a service: other gateways make room, too, and owners return.

        The work grows with the lines, not with what waits in them.
        """
        for line in self._queues.of_service(service):
            self._serve_and_review(line)
        for entry in list(islice(self._queues.ownerless(service), REVIEWS_PER_CHANGE)):
            self._reassess(entry)
            # The others have their turn with the next change.
            self._queues.move_to_end(entry)

    def _withdraw(self, entry: WaitingRequest) -> None:
        """Its caller has left: what it waited for, or has got meanwhile, is for others."""
        if not entry.placement.done():
            entry.placement.cancel()
            self._queues.remove(entry)
            return
        if isinstance(placement := entry.placement.result(), ServerRecord):
            self._capacity.release_reservation(placement)
            self._release(entry, 0.0)

    # ---- refusals ----

    def _refuse_late_in(self, line: PlacementQueue) -> None:
        """Refuse, in the order in which they go, those that cannot be in time any more."""
        ahead = 0
        loads: LoadCache = {}
        for entry in list(line.in_order(self._server_stats.mean_service_time_s(line.service))):
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
