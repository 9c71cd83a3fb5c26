"""Reports the routers that poll this controller to the other controllers."""

import asyncio

from indigoworks.common.address import Address
from indigoworks.common.clock import Clock
from indigoworks.controller.router_registry import RouterRegistry
from indigoworks.controllog.control_log_node import ControlLogNode
from indigoworks.wire.control_pb2 import Frame, Member
from indigoworks.wire.rpc_client import RpcClient

REPORT_INTERVAL_S = 0.5
"""Interval between reports to one controller."""

REPORT_TIMEOUT_S = 0.4
"""Timeout of a report; the next report carries the same routers again."""


class RouterReporter:
    """Runs one reporting task for each other controller of the group."""

    def __init__(
        self, member: Member, node: ControlLogNode, routers: RouterRegistry, clock: Clock
    ) -> None:
        self._member = member
        self._node = node
        self._routers = routers
        self._clock = clock
        self._tasks: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Report to all controllers of the current configuration until cancelled."""
        try:
            while True:
                self._update_tasks()
                await self._clock.sleep(REPORT_INTERVAL_S)
        finally:
            for task in self._tasks.values():
                task.cancel()

    def _update_tasks(self) -> None:
        configuration = self._node.status.configuration
        others = {
            m.incarnation: m
            for m in configuration.voters
            if m.incarnation != self._member.incarnation
        }
        for incarnation in list(self._tasks):
            if incarnation not in others:
                self._tasks.pop(incarnation).cancel()
        for incarnation, member in others.items():
            if incarnation not in self._tasks:
                self._tasks[incarnation] = asyncio.ensure_future(self._report_to(member))

    async def _report_to(self, member: Member) -> None:
        client = RpcClient(Address(member.host, member.control_port))
        try:
            while True:
                report = self._routers.report(self._member)
                await client.call(Frame(router_report=report), REPORT_TIMEOUT_S)
                await self._clock.sleep(REPORT_INTERVAL_S)
        finally:
            client.close()
