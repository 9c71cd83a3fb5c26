"""Carries orders to servers."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

from indigoworks.ownership.order_outcome import OrderOutcome, OrderResult
from indigoworks.servers.server_record import ServerRecord
from indigoworks_lab.control_simulation.links import Links
from indigoworks_lab.control_simulation.server_faults import LATE_ORDER_S, ServerFaults
from indigoworks_lab.control_simulation.simulated_server import SimulatedServer
from indigoworks_lab.control_simulation.traffic_counter import ORDER, TrafficCounter

POLL_S = 0.05

ServerOperation = Callable[[SimulatedServer, bool], Awaitable[OrderOutcome]]
"""What an order does at a server; the flag: the rules do not count it."""


@dataclass
class OrderTransit:
    """An order under way; `is_given_up`: its connection was reset by the sender."""

    answer: "asyncio.Future[OrderOutcome]"
    is_grant: bool = False
    is_given_up: bool = False


TEST_LATENCY_S = 0.002
"""Delay of a test connection; it draws nothing, so that runs without a cut stay what they are."""


class OrderWatcher(Protocol):
    """Forces what befalls orders."""

    def connecting(self, node: str, server: ServerRecord) -> None:
        """Take note that a node opens a connection, before any path is looked at."""
        ...

    async def takes_over(
        self, node: str, server: ServerRecord, operation: ServerOperation, is_grant: bool
    ) -> bool:
        """Carry an order in place of the carrier, without an answer; False: it does not."""
        ...


class OrderCarrier:
    """A cut holds an order back until it ends, or for good where the sender gives up.

    :ivar watcher: None: nothing is forced.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        links: Links,
        server_at: Callable[[str], SimulatedServer | None],
        random: Random,
        traffic: TrafficCounter,
    ) -> None:
        self._traffic = traffic
        self.faults = ServerFaults()
        self.watcher: OrderWatcher | None = None
        self._loop = loop
        self._links = links
        self._server_at = server_at
        self._random = random

    def _is_excused(self, node: str, target: SimulatedServer) -> bool:
        """Tell whether the rules do not count an order that arrives now."""
        return self._links.is_excused(node, str(target.address), self._loop.time())

    async def connect(
        self, node: str, server: ServerRecord, connected: "asyncio.Future[bool]"
    ) -> None:
        """Open a connection; nothing is set where the path is cut."""
        if self.watcher is not None:
            self.watcher.connecting(node, server)
        await asyncio.sleep(self._links.latency_s(node, str(server.address)))
        self._accept(node, server, connected)

    async def test_connection(
        self, node: str, server: ServerRecord, accepted: "asyncio.Future[bool]"
    ) -> None:
        """Open a connection over which nothing is sent; nothing is set where the path is cut."""
        await asyncio.sleep(TEST_LATENCY_S)
        self._accept(node, server, accepted)

    def _accept(self, node: str, server: ServerRecord, connected: "asyncio.Future[bool]") -> None:
        address = str(server.address)
        if self._links.is_cut(node, address):
            return
        target = self._server_at(address)
        if target is not None and not target.queue.accepts():
            return
        if not connected.done():
            connected.set_result(target is not None)

    async def carry(
        self,
        node: str,
        server: ServerRecord,
        operation: ServerOperation,
        transit: OrderTransit,
    ) -> None:
        """Bring an order to whoever listens at the address, and the answer back."""
        address = str(server.address)
        self._traffic.add(ORDER, node)
        if self.watcher is not None and await self.watcher.takes_over(
            node, server, operation, transit.is_grant
        ):
            return
        await asyncio.sleep(self._links.latency_s(node, address))
        if not await self._passes(node, address, transit):
            return
        outcome = await self._carried_out(node, server, operation)
        await asyncio.sleep(self._links.latency_s(node, address))
        if await self._passes(node, address, transit) and outcome is not None:
            _settle(transit, outcome)

    async def _passes(self, node: str, address: str, transit: OrderTransit) -> bool:
        while self._links.is_cut(node, address):
            if transit.is_given_up:
                return False
            await asyncio.sleep(POLL_S)
        return True

    async def _carried_out(
        self,
        node: str,
        server: ServerRecord,
        operation: ServerOperation,
    ) -> OrderOutcome | None:
        target = self._server_at(str(server.address))
        if target is None:
            return OrderOutcome(OrderResult.UNANSWERED)
        # A pause of the receiver excuses nothing: an order that waited there is excused only where
        # it also reached the machine in time after a heal or a thaw.
        is_excused = self._is_excused(node, target)
        has_waited = await target.queue.turn()
        if has_waited and not target.is_up:
            return OrderOutcome(OrderResult.UNANSWERED)
        if target.server_id != server.server_id:
            return OrderOutcome(OrderResult.OTHER_SERVER, answering_id=target.server_id)
        if target.is_misdirected:
            return OrderOutcome(OrderResult.OTHER_SERVER)
        is_late = self._random.random() < self.faults.late_ratio
        is_lost = self._random.random() < self.faults.lost_ratio
        if is_late:
            await asyncio.sleep(self._random.uniform(*LATE_ORDER_S))
            if not target.is_up:
                return None
        is_excused = self._is_excused(node, target) and (is_excused or not has_waited)
        outcome = await operation(target, is_excused)
        if is_late or is_lost:
            return None
        return outcome if target.is_up else OrderOutcome(OrderResult.UNANSWERED)


def _settle(transit: OrderTransit, outcome: OrderOutcome) -> None:
    if not transit.answer.done():
        transit.answer.set_result(outcome)
