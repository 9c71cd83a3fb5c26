"""Dispatches requests that other routers forward to this one."""

import asyncio
from collections.abc import Callable

from eliot import log_message
from result import Err

from indigoworks.common.clock import Clock
from indigoworks.router import refusals
from indigoworks.router.dispatch_request import DispatchRequest
from indigoworks.router.dispatcher import DispatchResult
from indigoworks.router.dispatcher_pool import DispatcherPool
from indigoworks.router.errors import RouterError, RouterFault
from indigoworks.router.forward_codec import dispatch_request, forward_reply
from indigoworks.router.routing_view import RoutingView
from indigoworks.router.view_follower import ViewFollower
from indigoworks.wire import control_pb2

SERVER_WAIT_S = 0.3
"""Longest wait for a view with the server and service: the sender's view may be newer."""


class ForwardService:
    """Handles forwarded requests and their cancellations."""

    def __init__(
        self,
        member: control_pb2.Member,
        follower: ViewFollower,
        pool: DispatcherPool,
        clock: Clock,
        is_stopping: Callable[[], bool],
    ) -> None:
        self._member = member
        self._follower = follower
        self._pool = pool
        self._clock = clock
        self._is_stopping = is_stopping
        self._active: dict[str, set[asyncio.Task[DispatchResult]]] = {}

    async def forward(self, message: control_pb2.ForwardRequest) -> control_pb2.Frame:
        """Dispatch a forwarded request and reply with its result."""
        refusal = self._refusal(message)
        if refusal is not None:
            return _refused(refusal)
        request = dispatch_request(message, self._clock.now())
        task = asyncio.ensure_future(self._dispatch(request))
        tasks = self._active.setdefault(message.request_id, set())
        tasks.add(task)
        try:
            result = await self._result(task)
        finally:
            task.cancel()
            tasks.discard(task)
            if not tasks:
                self._active.pop(message.request_id, None)
        reply = forward_reply(message.request_id, result)
        reply.clock_s = self._clock.now()
        return control_pb2.Frame(forward_reply=reply)

    async def cancel(self, message: control_pb2.CancelRequest) -> control_pb2.Frame:
        """Cancel a forwarded request, whether queued or sent."""
        for task in self._active.get(message.request_id, ()):
            task.cancel()
        return control_pb2.Frame(cancel_reply=control_pb2.CancelReply())

    def _refusal(self, message: control_pb2.ForwardRequest) -> RouterError | None:
        """Return why the request is refused, which makes the sender reroute it, or None."""
        if message.dispatcher_incarnation != self._member.incarnation:
            reason = "it was meant for another process of that router."
            return refusals.dispatcher_unreachable(self._member.name, reason)
        if self._is_stopping():
            return refusals.router_stopping()
        if self._follower.in_force() is None:
            return refusals.view_expired()
        return None

    async def _result(self, task: "asyncio.Task[DispatchResult]") -> DispatchResult:
        await asyncio.wait({task})
        if task.cancelled():
            return Err(refusals.answer_lost("the request was cancelled."))
        error = task.exception()
        if error is not None:
            # The request may have been sent before the exception: never report "not run".
            log_message(message_type="router:dispatch_failed", error=repr(error))
            return Err(_fault())
        return task.result()

    async def _dispatch(self, request: DispatchRequest) -> DispatchResult:
        # Let a cancellation that arrived right after the request be handled before it is sent.
        await asyncio.sleep(0)
        view = await self._follower.wait_until(
            lambda view: self._knows_server(view, request), SERVER_WAIT_S
        )
        if view is None:
            return Err(refusals.no_owner(request.owned.service, refusals.MIN_RETRY_AFTER_S))
        server = view.server(request.server_name, request.owned.server_incarnation)
        if server is None:
            raise AssertionError("the awaited server is missing from the view")
        return await self._pool.dispatch(request, server, view)

    def _knows_server(self, view: RoutingView, request: DispatchRequest) -> bool:
        is_known = view.server(request.server_name, request.owned.server_incarnation) is not None
        return is_known and view.settings.resolve(request.owned.service) is not None


def _refused(error: RouterError) -> control_pb2.Frame:
    """Return an error frame: it means that the request was not handled at all."""
    return control_pb2.Frame(
        error=control_pb2.ErrorReply(
            kind=error.kind,
            message=error.message,
            remedy=error.remedy,
            retry_after_s=error.retry_after_s,
        )
    )


def _fault() -> RouterFault:
    return RouterFault(
        "The router failed on the request.",
        "See the router's log under router:dispatch_failed.",
    )
