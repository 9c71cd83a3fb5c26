"""A router: accepts callers' requests and dispatches to the back ends assigned to it."""

import asyncio
from random import Random

from eliot import log_message
from prometheus_client import CollectorRegistry
from result import Ok

from indigoworks.common.in_progress_counter import InProgressCounter
from indigoworks.common.incarnation import new_incarnation
from indigoworks.common.task_failure import wait_for_failure
from indigoworks.router import refusals
from indigoworks.router.caller_request import CallerRequest
from indigoworks.router.caller_response import (
    CallerResponse,
    response_from_backend,
    response_from_error,
)
from indigoworks.router.controller_administration import ControllerAdministration
from indigoworks.router.controller_directory import ControllerDirectory
from indigoworks.router.dispatcher_pool import DispatcherPool
from indigoworks.router.dispatcher_ports import DispatcherPorts
from indigoworks.router.errors import RouterFault
from indigoworks.router.forward_service import ForwardService
from indigoworks.router.forwarder import Forwarder
from indigoworks.router.idempotency_cache import IdempotencyCache
from indigoworks.router.initial_view import read_initial_view
from indigoworks.router.metrics import RouterMetrics
from indigoworks.router.peer_monitor import PeerMonitor
from indigoworks.router.range_loads import RangeLoads
from indigoworks.router.request_check import RequestCheck
from indigoworks.router.request_path import RequestPath
from indigoworks.router.route_finder import RouteFinder
from indigoworks.router.routed_request import RoutedRequest
from indigoworks.router.router_frames import RouterFrames
from indigoworks.router.router_observer import RouterObserver
from indigoworks.router.router_ports import RouterPorts
from indigoworks.router.routing_view import RoutingView
from indigoworks.router.sent_requests import SentRequests
from indigoworks.router.view_follower import ViewFollower
from indigoworks.settings.router_settings import RouterSettings
from indigoworks.wire import control_pb2
from indigoworks.wire.rpc_server import RpcServer

STOP_LINGER_S = 3.0
"""Time for which a stopping router keeps its port open and declines forwarded requests: controllers
list it for 1 s after its last poll as a router, and routers use a list for VIEW_LEASE_S."""

STOP_TIMEOUT_S = 30.0
"""Timeout for the requests in progress when the router stops."""


class Router:
    """A router process without its HTTP server, which calls `handle`."""

    def __init__(
        self,
        settings: RouterSettings,
        ports: RouterPorts,
        random: Random,
        registry: CollectorRegistry | None = None,
    ) -> None:
        self.metrics = RouterMetrics(registry or CollectorRegistry())
        self._clock = ports.clock
        self._objects = ports.objects
        self._group_id = settings.group_id
        self._member = _member(settings, random)
        self._is_stopping = False
        self._handling = InProgressCounter()
        self._forwarded = InProgressCounter()
        self._tasks: list[asyncio.Task[None]] = []
        self._stop_task: asyncio.Task[None] | None = None
        directory = ControllerDirectory(
            settings.name, settings.zone, settings.controller_addresses, ports.machines
        )
        self._directory = directory
        self.administration = ControllerAdministration(directory, settings.group_id)
        self._loads = RangeLoads(ports.clock)
        self._follower = ViewFollower(
            self._member, directory, ports.clock, settings.group_id, self._loads
        )
        self._pool = self._dispatcher_pool(ports, random)
        self._monitor = PeerMonitor(ports.clock)
        self._forwarder = Forwarder(ports.clock, self._monitor, settings.group_id)
        self._path = self._request_path(random)
        self._check = RequestCheck(ports.clock)
        self._idempotency = IdempotencyCache(ports.clock)
        service = ForwardService(
            self._member, self._follower, self._pool, ports.clock, self._stopping
        )
        self._frames = RouterFrames(
            self._member, service, self._follower, self._forwarded, ports.clock
        )
        self._server = RpcServer(settings.control_address, self._frames.handle)
        self._observer = RouterObserver(self.metrics, self._follower, self._pool, ports.clock)

    # Factory methods, so that a subclass can replace a component.

    def _dispatcher_pool(self, ports: RouterPorts, random: Random) -> DispatcherPool:
        return DispatcherPool(
            DispatcherPorts(
                clock=ports.clock,
                backends=ports.backends,
                random=random,
                sent=SentRequests(ports.clock),
                is_view_in_force=self._is_view_in_force,
                loads=self._loads,
            )
        )

    def _request_path(self, random: Random) -> RequestPath:
        finder = RouteFinder(self._member.incarnation, self._monitor)
        return RequestPath(self._follower, finder, self._pool, self._forwarder, self._clock, random)

    @property
    def member(self) -> control_pb2.Member:
        """Identity of this router process."""
        return self._member

    @property
    def view(self) -> RoutingView | None:
        """Newest view, even if its lease has expired."""
        return self._follower.latest

    @property
    def is_stopping(self) -> bool:
        """Whether the router no longer accepts new requests."""
        return self._is_stopping

    def in_force(self) -> RoutingView | None:
        """Return the view if its lease is valid, else None."""
        return self._follower.in_force()

    def max_body_bytes(self, service: str, group: str) -> int | None:
        """Return the body size limit; None for an unknown service or without a view in force."""
        view = self._follower.in_force()
        return None if view is None else self._check.max_body_bytes(view, service, group)

    async def start(self) -> None:
        """Serve the internal protocol and follow the view.

        :raises OSError: the address of the internal protocol cannot be bound.
        """
        await self._server.start()
        self._tasks = [
            asyncio.ensure_future(self._follow()),
            asyncio.ensure_future(self._directory.run(self._clock)),
            asyncio.ensure_future(self._observe_views()),
        ]
        log_message(message_type="router:started", incarnation=self._member.incarnation)

    async def wait_failed(self) -> str:
        """Wait until a background task of this router has failed, and return which."""
        return await wait_for_failure(self._tasks)

    async def stop(self) -> None:
        """Refuse new requests, finish those in progress, and stop; later calls wait for the first.

        The view is followed until the end, as requests in progress may have to be rerouted.
        """
        if self._stop_task is None:
            self._stop_task = asyncio.ensure_future(self._stop())
        await asyncio.shield(self._stop_task)

    async def _stop(self) -> None:
        self._is_stopping = True
        self._follower.stop_dispatching()
        log_message(message_type="router:stopping", in_progress=self._handling.count)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await self._finish_in_progress()
        except TimeoutError:
            log_message(message_type="router:stop_cut", in_progress=self._handling.count)
        await self._end()

    async def handle(self, request: CallerRequest) -> CallerResponse:
        """Answer a caller's request; cancelled if the caller disconnects."""
        started_s = self._clock.now()
        with self._handling.track():
            try:
                response = await self._answer(request)
            except asyncio.CancelledError:
                self._observer.record_cancelled(request, started_s)
                raise
        self._observer.record_response(request, response, started_s)
        return response

    async def _answer(self, request: CallerRequest) -> CallerResponse:
        if self._is_stopping:
            return response_from_error(refusals.router_stopping())
        view = self._follower.in_force()
        if view is None:
            return response_from_error(refusals.view_expired())
        checked = self._check.check(request, view)
        if not isinstance(checked, Ok):
            return response_from_error(checked.unwrap_err())
        routed = checked.unwrap()
        if request.idempotency_key is None:
            return await self._run(routed)
        return await self._idempotency.answer(request, lambda: self._run(routed))

    async def _run(self, routed: RoutedRequest) -> CallerResponse:
        # A run with an idempotency key can outlast its caller's request: stop() waits for it too.
        with self._handling.track():
            try:
                result = await self._path.run(routed)
            except Exception as error:
                # The request may have been sent before the exception: never report "not run".
                log_message(
                    message_type="router:request_failed",
                    level="ERROR",
                    request_id=routed.caller.request_id,
                    error=repr(error),
                )
                return response_from_error(_fault())
        if isinstance(result, Ok):
            return response_from_backend(result.unwrap())
        return response_from_error(result.unwrap_err())

    async def _finish_in_progress(self) -> None:
        await self._clock.sleep(STOP_LINGER_S)
        await self._handling.wait_until_idle()
        await self._forwarded.wait_until_idle()

    async def _end(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._server.stop()
        await self._forwarder.stop()
        self.administration.close()
        log_message(message_type="router:stopped")

    async def _follow(self) -> None:
        self._follower.set_initial_view(await read_initial_view(self._objects, self._group_id))
        await self._follower.run()

    async def _observe_views(self) -> None:
        """Update dispatchers, connections and peer states after each applied view reply."""
        while True:
            view = await self._follower.next_change()
            self._pool.apply_view(view)
            self._forwarder.keep_only(view.routers)
            self._monitor.keep_only(view.routers)

    def _is_view_in_force(self) -> bool:
        return self._follower.in_force() is not None

    def _stopping(self) -> bool:
        return self._is_stopping


def _member(settings: RouterSettings, random: Random) -> control_pb2.Member:
    return control_pb2.Member(
        name=settings.name,
        incarnation=new_incarnation(settings.name, random),
        zone=settings.zone,
        host=settings.host,
        control_port=settings.control_port,
        http_port=settings.http_port,
    )


def _fault() -> RouterFault:
    return RouterFault(
        "The router failed on the request; it may have run.",
        "Check whether the request took effect; see the router's log under router:request_failed.",
    )
