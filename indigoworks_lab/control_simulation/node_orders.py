"""The port through which one node's orders reach the simulated servers."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from indigoworks.ownership.key_grant import KeyGrant
from indigoworks.ownership.key_release import KeyRelease
from indigoworks.ownership.order_outcome import OrderOutcome, OrderResult
from indigoworks.ownership.server_orders import MaySend, NoticeListener
from indigoworks.servers.server_record import ServerRecord
from indigoworks_lab.control_simulation.order_carrier import (
    OrderCarrier,
    OrderTransit,
    ServerOperation,
)
from indigoworks_lab.control_simulation.send_stall import SendStall
from indigoworks_lab.control_simulation.simulated_server import SimulatedServer

CONNECT_TIMEOUT_S = 0.3


class NodeOrders:
    """Implements `ServerOrders`: each order over a connection of its own, once.

    Grants to one server go one after the other, as in the adapter to the platform's servers.

    :ivar connections_opened: not counted.
    """

    connections_opened = 0

    def __init__(
        self,
        node: str,
        boot: str,
        carrier: OrderCarrier,
        on_order: Callable[[str], None],
        stall: SendStall,
        run_outside: Callable[[Coroutine[Any, Any, None]], object],
    ) -> None:
        self._node = node
        self._boot = boot
        self._carrier = carrier
        self._on_order = on_order
        self._stall = stall
        self._run_outside = run_outside
        self._lines: dict[str, asyncio.Lock] = {}

    def add_notice_listener(self, listener: NoticeListener) -> None:
        """Tell nothing: these servers ask for nothing."""

    async def grant(
        self, server: ServerRecord, grant: KeyGrant, timeout_s: float, may_send: MaySend
    ) -> OrderOutcome:
        """Grant keys, or renew the same grant."""

        async def operation(target: SimulatedServer, is_excused: bool) -> OrderOutcome:
            return target.grant(grant, is_excused)

        async with self._lines.setdefault(server.server_id, asyncio.Lock()):
            return await self._order(server, operation, timeout_s, may_send, is_grant=True)

    async def release(
        self, server: ServerRecord, release: KeyRelease, timeout_s: float, may_send: MaySend
    ) -> OrderOutcome:
        """Release keys."""

        async def operation(target: SimulatedServer, _is_excused: bool) -> OrderOutcome:
            return await target.release(release)

        return await self._order(server, operation, timeout_s, may_send)

    async def _order(
        self,
        server: ServerRecord,
        operation: ServerOperation,
        timeout_s: float,
        may_send: MaySend,
        is_grant: bool = False,
    ) -> OrderOutcome:
        failure = await self._connection_failure(server)
        if failure is not None:
            return OrderOutcome(failure)
        await self._stall.before_bytes()
        if not may_send():
            return OrderOutcome(OrderResult.WITHHELD)
        self._on_order(self._boot)
        transit = OrderTransit(asyncio.get_running_loop().create_future(), is_grant)
        self._run_outside(self._carrier.carry(self._node, server, operation, transit))
        try:
            async with asyncio.timeout(timeout_s):
                return await transit.answer
        except TimeoutError:
            return OrderOutcome(OrderResult.UNANSWERED)
        finally:
            transit.is_given_up = True

    async def _connection_failure(self, server: ServerRecord) -> OrderResult | None:
        connected: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._run_outside(self._carrier.connect(self._node, server, connected))
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                return None if await connected else OrderResult.REFUSED_CONNECTION
        except TimeoutError:
            return OrderResult.NOT_SENT
