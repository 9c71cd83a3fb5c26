"""Keeps the router's view up to date by long-polling a controller."""

import asyncio
from collections.abc import Callable

from eliot import log_message
from result import Err

from indigoworks.common.address import Address
from indigoworks.common.clock import Clock
from indigoworks.router.controller_directory import ControllerDirectory
from indigoworks.router.range_loads import RangeLoads
from indigoworks.router.routing_view import RoutingView
from indigoworks.router.view_errors import OlderGeneration, SnapshotNeeded
from indigoworks.router.view_lease import ViewLease
from indigoworks.router.view_update import updated_view
from indigoworks.wire import control_pb2
from indigoworks.wire.rpc_client import RpcClient

POLL_TIMEOUT_S = 0.6
"""Timeout of one poll: the controller holds it for up to 0.25 s; the rest is network latency."""

RETRY_PAUSE_S = 0.1
"""Pause after all controllers have failed."""

MAX_STALENESS_S = 1.0
"""A controller whose own state was confirmed longer ago than this is abandoned for the next."""

MAX_FALLBACK_POLLS = 60
"""Number of polls at a fallback controller before the first choice is tried again."""


class ViewFollower:
    """Polls the view from one controller and fails over to the next.

    The view is in force, that is may be acted upon, only while its lease is valid; see ViewLease.
    """

    def __init__(
        self,
        member: control_pb2.Member,
        directory: ControllerDirectory,
        clock: Clock,
        group_id: int = 0,
        loads: RangeLoads | None = None,
    ) -> None:
        self._loads = loads
        self._member = member
        self._directory = directory
        self._clock = clock
        self._group_id = group_id
        self._view: RoutingView | None = None
        self._lease = ViewLease()
        self._changed = asyncio.Event()
        self._needs_snapshot = False
        self._is_router = True

    @property
    def latest(self) -> RoutingView | None:
        """Newest view, even if its lease has expired."""
        return self._view

    def in_force(self) -> RoutingView | None:
        """Return the view if its lease is valid, else None."""
        return self._view if self._lease.is_valid(self._clock.now()) else None

    def lease_remaining_s(self) -> float:
        """Return the remaining seconds of the view's lease."""
        return self._lease.remaining_s(self._clock.now())

    def stop_dispatching(self) -> None:
        """Continue polling, but no longer as a router that others may select as dispatcher."""
        self._is_router = False

    def set_initial_view(self, view: RoutingView | None) -> None:
        """Set a view that is not yet in force; polls then request only later changes."""
        if self._view is None:
            self._view = view

    async def wait_until(
        self, condition: Callable[[RoutingView], bool], timeout_s: float
    ) -> RoutingView | None:
        """Wait for a view in force that satisfies `condition`; None after `timeout_s` seconds."""
        present = self.in_force()
        if present is not None and condition(present):
            return present
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    changed = self._changed
                    view = self.in_force()
                    if view is not None and condition(view):
                        return view
                    await changed.wait()
        except TimeoutError:
            return None

    async def next_change(self) -> RoutingView:
        """Wait for the next applied reply and return the view; some replies may be skipped."""
        await self._changed.wait()
        if self._view is None:
            raise AssertionError("the view changed but is not set")
        return self._view

    async def run(self) -> None:
        """Follow the view until cancelled."""
        while True:
            has_answer = False
            for address in self._directory.candidates():
                has_answer = await self._follow(address)
                if has_answer:
                    break
            if not has_answer:
                await self._clock.sleep(RETRY_PAUSE_S)

    async def _follow(self, address: Address) -> bool:
        """Poll a controller until it fails or the first choice is due to be tried again.

        :returns: whether at least one reply was applied and fresh enough.
        """
        client = RpcClient(address, self._group_id)
        polls = 0
        try:
            while polls < MAX_FALLBACK_POLLS or self._is_first(address):
                if not await self._poll(client):
                    break
                polls += 1
        finally:
            client.close()
        return polls > 0

    def _is_first(self, address: Address) -> bool:
        # Not cached: the machine list may be read only after the first poll.
        return self._directory.candidates()[:1] == (address,)

    async def _poll(self, client: RpcClient) -> bool:
        asked_at_s = self._clock.now()
        request = control_pb2.Frame(view_request=self._request(asked_at_s))
        answered = await client.call(request, POLL_TIMEOUT_S)
        if isinstance(answered, Err):
            self._log_failure(client.address, answered.unwrap_err().message)
            return False
        frame = answered.unwrap()
        if frame.WhichOneof("payload") != "view_reply":
            self._log_failure(client.address, "it sent an unexpected message")
            return False
        return self._apply(frame.view_reply, asked_at_s, client.address)

    def _request(self, asked_at_s: float) -> control_pb2.ViewRequest:
        view = self._view
        request = control_pb2.ViewRequest(
            requester=self._member,
            clock_s=asked_at_s,
            view_lease_remaining_s=self.lease_remaining_s(),
            is_router=self._is_router,
        )
        if view is not None:
            request.known_generation = view.generation
            request.known_version = 0 if self._needs_snapshot else view.version
            request.settings_version = view.settings_version
            request.known_routers_version = view.routers_version
        if self._loads is not None:
            request.loads.extend(self._loads.report())
        return request

    def _apply(self, reply: control_pb2.ViewReply, asked_at_s: float, address: Address) -> bool:
        """Apply a reply; return False if the next controller should be polled."""
        updated = updated_view(self._view, reply)
        if isinstance(updated, Err):
            error = updated.unwrap_err()
            self._log_failure(address, error.message)
            if isinstance(error, OlderGeneration):
                return False
            # A second mismatch in a row: this controller does not send a usable snapshot.
            is_first_mismatch = not self._needs_snapshot
            self._needs_snapshot = isinstance(error, SnapshotNeeded)
            return is_first_mismatch and self._needs_snapshot
        self._needs_snapshot = False
        self._put_in_force(updated.unwrap(), asked_at_s, reply.staleness_s)
        return reply.staleness_s <= MAX_STALENESS_S

    def _put_in_force(self, view: RoutingView, asked_at_s: float, staleness_s: float) -> None:
        # A local view that is newer than the controller's contains everything that the controller
        # has confirmed, so the confirmation also covers it.
        self._lease.renew(asked_at_s, staleness_s)
        is_change = view is not self._view
        self._view = view
        if is_change:
            self._notify()

    def _notify(self) -> None:
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()

    def _log_failure(self, address: Address, reason: str) -> None:
        log_message(message_type="router:view_poll_failed", controller=str(address), reason=reason)
