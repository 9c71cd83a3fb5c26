"""Places requests at servers, and keeps those back for which there is no room."""

import asyncio
from itertools import islice

from indigoworks.common.clock import Clock
from indigoworks.gateway import queue_refusals
from indigoworks.gateway.admission_control import AdmissionControl, LoadCache
from indigoworks.gateway.capacity_tracker import CapacityTracker
from indigoworks.gateway.owner_lookup import OwnerLookup
from indigoworks.gateway.owner_outages import OWNER_LOOK_S, OwnerOutages
from indigoworks.gateway.placement_queue import JUDGED_PER_CHANGE, PlacementQueue
from indigoworks.gateway.placement_queues import PlacementQueues
from indigoworks.gateway.placer import Placement
from indigoworks.gateway.queue_timers import QueueTimers
from indigoworks.gateway.refusal import Refusal
from indigoworks.gateway.server_selector import ServerSelector
from indigoworks.gateway.server_stats import Measurement, ServerStats
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
        choice: ServerSelector,
        owners: OwnerLookup,
        board: ServerStats,
        room: CapacityTracker,
        clock: Clock,
        counts_all: bool = False,
    ) -> None:
        self._choice = choice
        self._outages = OwnerOutages(owners, board, clock)
        self.expectation = AdmissionControl(choice, owners, self._outages, board, room, clock)
        self._board = board
        self._clock = clock
        self._lines = PlacementQueues()
        self._waiting: dict[str, int] = {}
        self._room = room
        self._counts_all = counts_all
        self._turns = QueueTimers(self._serve)
        self._sequence = 0

    async def place(self, entry: WaitingRequest) -> Placement:
        """Return a server with room, or why there is none.

        Whoever gets a server calls `release` when the request has left it.
        """
        placement = self.place_at_once(entry)
        return await self.wait_for_place(entry) if placement is None else placement

    def place_at_once(self, entry: WaitingRequest) -> Placement | None:
        """Return the same where that is known without waiting; None: `wait_for_place` goes on."""
        self._sequence += 1
        entry.sequence = self._sequence
        self._arrive(entry)
        if not entry.placed.done():
            self._waiting[entry.service] = self._waiting.get(entry.service, 0) + 1
            return None
        return self._placed(entry)

    async def wait_for_place(self, entry: WaitingRequest) -> Placement:
        """Return the same for a request that waits since `place_at_once`."""
        try:
            await self._wait(entry)
        except asyncio.CancelledError:
            self._withdraw(entry)
            raise
        finally:
            self._waiting[entry.service] -= 1
        return self._placed(entry)

    def _placed(self, entry: WaitingRequest) -> Placement:
        placement = entry.placed.result()
        # Right after this the request counts at its server.
        if isinstance(placement, ServerRecord):
            self._room.unreserve(placement)
        return placement

    def release(self, entry: WaitingRequest, started: Measurement) -> None:
        """Take back the place of a request, which it has had since `started`.

        Its group is charged with what is left of that time without the wait at the server.
        """
        server = entry.placed.result()
        if isinstance(server, ServerRecord):
            queued_s = (started.rounds - 1) * self._board.service_s(server)
            self._release(entry, max(0.0, self._clock.now() - started.at_s - queued_s))

    def capacity_changed(self) -> None:
        """Place or refuse what waits: owners or servers changed."""
        self.expectation.servers_changed()
        self._outages.note_ended()
        for line in self._lines.all():
            self._serve(line)
            self._judge(line)
        for entry in self._lines.all_ownerless():
            self._look_again(entry)

    def waiting_by_service(self) -> dict[str, int]:
        """Return how many requests wait, for each service that ever had one waiting."""
        return dict(self._waiting)

    async def _wait(self, entry: WaitingRequest) -> None:
        """Wait for a place while an answer is expected within the request's limit."""
        while not entry.placed.done():
            left_s = entry.limit_s - self._clock.now()
            if left_s <= 0:
                self._end_if(entry, self.expectation.last_refusal(entry))
                break
            if entry.line is None:
                left_s = min(left_s, OWNER_LOOK_S)
            await asyncio.wait({entry.placed}, timeout=left_s)
            self._look_again(entry)

    # ---- where a request waits ----

    def _arrive(self, entry: WaitingRequest) -> None:
        if self.expectation.claim_turn(entry):
            entry.put_first()
        self._lines.file(entry, self.expectation.owner(entry))
        line = self._serve_line_of(entry)
        if line is not None:
            cost_s = self._board.service_s_of(line.service)
            self._refuse_late(entry, line.count_before_last(entry, cost_s), {})

    def _serve_line_of(self, entry: WaitingRequest) -> PlacementQueue | None:
        """Return the line in which a request still waits after the free places are given."""
        line = entry.line
        if line is None:
            self._end_if(entry, self.expectation.refusal_without_owner(entry))
            return None
        self._serve(line)
        return None if entry.placed.done() else entry.line

    def _look_again(self, entry: WaitingRequest) -> None:
        """Place or refuse a request that waits where its owner perhaps no longer is."""
        if entry.placed.done():
            return
        if is_moved := not self._is_at_owner(entry):
            self._lines.take_out(entry)
            self._lines.file(entry, self.expectation.owner(entry))
        line = self._serve_line_of(entry)
        if is_moved and line is not None:
            self._judge(line)

    def _is_at_owner(self, entry: WaitingRequest) -> bool:
        owner = self.expectation.owner(entry)
        server_id = None if owner is None else owner.server_id
        return server_id == (None if entry.line is None else entry.line.server_id)

    def _move(self, entry: WaitingRequest) -> None:
        """Its owner is another one, or none: it goes there, and is looked at after this turn."""
        self._lines.take_out(entry)
        self._lines.file(entry, self.expectation.owner(entry))
        asyncio.get_running_loop().call_soon(self._look_again, entry)

    # ---- places ----

    def _serve(self, line: PlacementQueue) -> None:
        """Give free places to those whose turn it is."""
        if line.server_id is not None:
            self._serve_owned(line)
        elif line:
            usable = self._choice.usable(line.service)
            self._serve_any(line, usable)
            self._await_turn(line, usable)

    def _serve_any(self, line: PlacementQueue, usable: list[ServerRecord]) -> None:
        free = self._room.with_room(usable)
        while free and (entry := line.head()) is not None:
            servers = [each for each in free if each.server_id not in entry.tried]
            if not servers or self._is_kept(line, entry, usable):
                return
            self._grant(line, entry, chosen := self._choice.best(servers))
            if not self._room.has_room(chosen):
                free.remove(chosen)

    def _serve_owned(self, line: PlacementQueue) -> None:
        while (entry := line.head()) is not None:
            owner = self.expectation.owner(entry)
            if owner is None or owner.server_id != line.server_id:
                self._move(entry)
            elif self._room.is_for_broker(owner):
                self._end(entry, queue_refusals.for_broker(owner.server_id))
            elif self._room.has_room(owner) and not self._is_kept(line, entry, [owner]):
                self._grant(line, entry, owner)
            else:
                self._await_turn(line, [owner])
                return

    def _is_kept(
        self, line: PlacementQueue, entry: WaitingRequest, servers: list[ServerRecord]
    ) -> bool:
        """Tell whether the next turn is another caller's; the line is looked at again after it."""
        if entry.has_turn or not self._room.has_bound():
            return False
        kept_s = self.expectation.turn_kept_for_s(line.name, servers)
        if kept_s > 0:
            self._turns.look_in(line, kept_s)
        return kept_s > 0

    def _await_turn(self, line: PlacementQueue, servers: list[ServerRecord]) -> None:
        """Look at a line again at the next turn of its servers: no request need end by then."""
        turn_s = self._room.turn_in_s(servers) if line else 0.0
        if turn_s > 0:
            self._turns.look_in(line, turn_s)

    def _grant(self, line: PlacementQueue, entry: WaitingRequest, server: ServerRecord) -> None:
        line.grant(entry, self._board.service_s(server))
        self.expectation.note_granted(entry)
        entry.placed.set_result(server)
        self._room.reserve(server)

    def _release(self, entry: WaitingRequest, cost_s: float) -> None:
        line = entry.line
        if line is None:
            return
        line.give_back(entry, cost_s)
        entry.line = None
        if self._waiting.get(line.service):
            if self._counts_all:
                self._look_at(line)
            else:
                self._look_around(line.service)
        self._lines.forget_idle(line)

    def _look_at(self, line: PlacementQueue) -> None:
        """Give free places to what waits in a line, and now and then refuse what will be late."""
        if not line:
            return
        self._serve(line)
        if line and line.is_due():
            self._judge(line)

    def _look_around(self, service: str) -> None:
        """Look at all that waits for a service: other gateways make room, too, and owners return.

        The work grows with the lines, not with what waits in them.
        """
        for line in self._lines.of_service(service):
            self._look_at(line)
        for entry in list(islice(self._lines.ownerless(service), JUDGED_PER_CHANGE)):
            self._look_again(entry)
            # The others have their turn with the next change.
            self._lines.put_last(entry)

    def _withdraw(self, entry: WaitingRequest) -> None:
        """Its caller has left: what it waited for, or has got meanwhile, is for others."""
        if not entry.placed.done():
            entry.placed.cancel()
            self._lines.take_out(entry)
            return
        if isinstance(placement := entry.placed.result(), ServerRecord):
            self._room.unreserve(placement)
            self._release(entry, 0.0)

    # ---- refusals ----

    def _judge(self, line: PlacementQueue) -> None:
        """Refuse, in the order in which they go, those that cannot be in time any more."""
        ahead = 0
        loads: LoadCache = {}
        for entry in list(line.in_order(self._board.service_s_of(line.service))):
            if not self._is_at_owner(entry):
                self._move(entry)
            elif not self._refuse_late(entry, ahead, loads):
                ahead += 1

    def _refuse_late(self, entry: WaitingRequest, ahead: int, loads: LoadCache) -> bool:
        return self._end_if(entry, self.expectation.refusal_if_late(entry, ahead, loads))

    def _end_if(self, entry: WaitingRequest, refusal: Refusal | None) -> bool:
        if refusal is None:
            return False
        self._end(entry, refusal)
        return True

    def _end(self, entry: WaitingRequest, refusal: Refusal) -> None:
        self._lines.take_out(entry)
        entry.placed.set_result(refusal)
