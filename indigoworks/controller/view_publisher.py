"""Serves view polls of routers."""

import asyncio

from indigoworks.common.clock import Clock
from indigoworks.controller.control_state import ReplicatedControlState
from indigoworks.controller.router_registry import RouterRegistry
from indigoworks.controller.view_message_cache import ViewMessageCache
from indigoworks.controllog.control_log_node import ControlLogNode
from indigoworks.wire.control_pb2 import ErrorReply, Frame, ViewReply, ViewRequest

LONG_POLL_S = 0.25
"""Longest time for which a poll without changes is held. Determines how often a router renews its
view lease."""

MAX_STALENESS_S = 1.0
"""A controller whose state was last confirmed longer ago refuses polls."""

SNAPSHOT_WAIT_S = 0.3
"""Longest wait of a poll for its snapshot. A router abandons its poll after 0.6 s; a snapshot sent
later would cost the same and be discarded."""

RETRY_AFTER_S = 0.2
"""Retry time for a router whose poll was refused."""


class ViewPublisher:
    """Answers view polls from the replicated state, on any member of the group."""

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
        self._snapshot_lock = asyncio.Lock()

    async def handle(self, request: ViewRequest) -> Frame:
        """Answer a poll: at once if the view has changed, else after at most LONG_POLL_S."""
        self._routers.record_poll(request)
        await self._wait_for_change(request)
        if self._needs_snapshot(request):
            return await self._answer_serially(request)
        return self._answer(request)

    async def _answer_serially(self, request: ViewRequest) -> Frame:
        """Send snapshots one at a time, so that lease renewals can run in between.

        When many routers start at once, building all their snapshots in one event loop iteration
        would make a leader lose its lease.
        """
        arrived_at_s = self._clock.now()
        async with self._snapshot_lock:
            if self._clock.now() - arrived_at_s > SNAPSHOT_WAIT_S:
                return Frame(error=_too_many_snapshots())
            return self._answer(request)

    def _answer(self, request: ViewRequest) -> Frame:
        staleness_s = self._staleness_s()
        if staleness_s is None or not self._may_serve(request):
            return Frame(error=_cannot_serve())
        return Frame(view_reply=self._reply(request, staleness_s))

    async def _wait_for_change(self, request: ViewRequest) -> None:
        deadline_s = self._clock.now() + LONG_POLL_S
        while not self._has_changed(request):
            remaining_s = deadline_s - self._clock.now()
            if remaining_s <= 0:
                return
            await self._node.wait_applied(self._state.applied_index, remaining_s)

    def _has_changed(self, request: ViewRequest) -> bool:
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
        """Return whether the state may be sent to this router.

        A new generation starts from a checkpoint that may be older than the latest accepted
        settings. Until its leader has read them from the table service, a view could move a
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
        # A member restored from a snapshot gives the same view a higher version.
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
        message="Too many routers request a snapshot from this controller at once.",
        remedy="Ask another controller, or this one again after the time given.",
        retry_after_s=RETRY_AFTER_S,
    )
