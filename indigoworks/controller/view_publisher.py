"""Answers the polls of routers for their views."""

import asyncio

from indigoworks.common.clock import Clock
from indigoworks.controller.control_state import ReplicatedControlState
from indigoworks.controller.router_registry import RouterRegistry
from indigoworks.controller.view_message_cache import ViewMessageCache
from indigoworks.controllog.control_log_node import ControlLogNode
from indigoworks.wire.control_pb2 import ErrorReply, Frame, ViewReply, ViewRequest

HOLD_S = 0.25
"""Longest time for which a poll is held when nothing is new. Bounds how often a router renews
its view lease."""

MAX_STALENESS_S = 1.0
"""A controller whose state was confirmed longer ago sends routers to another one."""

SNAPSHOT_WAIT_S = 0.3
"""Longest wait for one's turn to get a whole view. A router gives its poll up after 0.6 s; a view
that comes later would cost the same and help nobody."""

RETRY_AFTER_S = 0.2
"""When a router may ask a controller again that could not answer."""


class ViewPublisher:
    """Serves views from the replicated state, on any member of the group."""

    def __init__(
        self,
        node: ControlLogNode,
        state: ReplicatedControlState,
        routers: RouterRegistry,
        clock: Clock,
    ) -> None:
        self._node = node
        self._state = state
        self._routers = routers
        self._clock = clock
        self._messages = ViewMessageCache(state)
        self._snapshot_turn = asyncio.Lock()

    async def handle(self, request: ViewRequest) -> Frame:
        """Answer one poll: at once when something is new, else after HOLD_S."""
        self._routers.record_poll(request)
        await self._wait_for_news(request)
        if self._needs_snapshot(request):
            return await self._answer_in_turn(request)
        return self._answer(request)

    async def _answer_in_turn(self, request: ViewRequest) -> Frame:
        """Give whole views one by one, so that renewals get through in between.

        When many routers start at once, views for all of them in one turn of the event loop would
        cost a leader its leader lease.
        """
        arrived_at_s = self._clock.now()
        async with self._snapshot_turn:
            if self._clock.now() - arrived_at_s > SNAPSHOT_WAIT_S:
                return Frame(error=_too_many_snapshots())
            return self._answer(request)

    def _answer(self, request: ViewRequest) -> Frame:
        staleness_s = self._staleness_s()
        if staleness_s is None or not self._may_serve(request):
            return Frame(error=_cannot_serve())
        return Frame(view_reply=self._reply(request, staleness_s))

    async def _wait_for_news(self, request: ViewRequest) -> None:
        deadline_s = self._clock.now() + HOLD_S
        while not self._has_news(request):
            remaining_s = deadline_s - self._clock.now()
            if remaining_s <= 0:
                return
            await self._node.wait_applied(self._state.applied_index, remaining_s)

    def _has_news(self, request: ViewRequest) -> bool:
        is_other_generation = request.known_generation != self._node.status.generation
        return is_other_generation or self._state.version > request.known_version

    def _needs_snapshot(self, request: ViewRequest) -> bool:
        generation = self._node.status.generation
        if request.known_generation != generation or request.known_version == 0:
            return True
        if request.known_version >= self._state.version:
            return False
        return self._messages.delta(generation, request.known_version, request.services) is None

    def _staleness_s(self) -> float | None:
        confirmed_at_s = self._node.confirmed_at_s()
        if confirmed_at_s is None:
            return None
        staleness_s = max(0.0, self._clock.now() - confirmed_at_s)
        return staleness_s if staleness_s <= MAX_STALENESS_S else None

    def _may_serve(self, request: ViewRequest) -> bool:
        """Tell whether the state may be shown to this router.

        A new generation begins from a checkpoint that may be older than the newest accepted
        settings. Until its leader has read them from the table service, a view could take a
        router back to an older version.
        """
        generation = self._node.status.generation
        is_confirmed = self._state.settings.generation >= generation
        is_same_generation = request.known_generation == generation
        is_behind = is_same_generation and self._state.applied_index < request.known_version
        return is_confirmed and not is_behind

    def _reply(self, request: ViewRequest, staleness_s: float) -> ViewReply:
        generation = self._node.status.generation
        is_same_generation = request.known_generation == generation
        known_version = request.known_version if is_same_generation else 0
        # A member that began from a snapshot numbers the same view higher; it is no news.
        reply = ViewReply(
            version=max(self._state.version, known_version),
            generation=generation,
            echoed_clock_s=request.clock_s,
            staleness_s=staleness_s,
        )
        if known_version < self._state.version:
            self._add_changes(reply, request, known_version)
        self._add_routers(reply, request)
        return reply

    def _add_changes(self, reply: ViewReply, request: ViewRequest, known_version: int) -> None:
        generation = reply.generation
        delta = None
        if known_version > 0:
            delta = self._messages.delta(generation, known_version, request.services)
        if delta is None:
            reply.snapshot.CopyFrom(self._messages.snapshot(generation, request.services))
        else:
            reply.delta.CopyFrom(delta)

    def _add_routers(self, reply: ViewReply, request: ViewRequest) -> None:
        listed = self._routers.live_list()
        reply.routers_version = listed.version
        if listed.version != request.known_routers_version:
            reply.routers.extend(listed.routers)


def _cannot_serve() -> ErrorReply:
    return ErrorReply(
        kind="view_not_confirmed",
        message="This controller cannot confirm its view with the leader.",
        remedy="Ask another controller.",
        retry_after_s=RETRY_AFTER_S,
    )


def _too_many_snapshots() -> ErrorReply:
    return ErrorReply(
        kind="too_many_snapshots",
        message="Too many routers ask this controller for a whole view at once.",
        remedy="Ask another controller, or this one again after the time given.",
        retry_after_s=RETRY_AFTER_S,
    )
