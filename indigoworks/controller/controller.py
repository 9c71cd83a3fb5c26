"""A controller process without its HTTP server."""

import asyncio
from collections.abc import Coroutine
from random import Random
from typing import Any

from eliot import log_message

from indigoworks.admin.admin_operations import all_operations
from indigoworks.common.incarnation import new_incarnation
from indigoworks.common.task_failure import wait_for_failure
from indigoworks.controller.control_state import ReplicatedControlState
from indigoworks.controller.controller_administration import ControllerAdministration
from indigoworks.controller.controller_control_plane import ControllerControlPlane
from indigoworks.controller.controller_metrics import ControllerMetrics
from indigoworks.controller.controller_ports import ControllerPorts
from indigoworks.controller.leader_tasks import LeaderTasks
from indigoworks.controller.router_registry import RouterRegistry
from indigoworks.controller.router_reporter import RouterReporter
from indigoworks.controller.view_publisher import ViewPublisher
from indigoworks.controllog.control_log_node import ControlLogNode
from indigoworks.controllog.log_timing import LogTiming
from indigoworks.controllog.role import Role
from indigoworks.settings import ControllerSettings
from indigoworks.wire.control_pb2 import Frame, Member, RouterReportReply
from indigoworks.wire.rpc_server import RpcServer


class Controller:
    """A control group member: replicates the log, serves views, leads while it holds the lease.

    :ivar administration: handles requests to the administration API.
    :ivar metrics: gauges of this controller.
    """

    def __init__(
        self, settings: ControllerSettings, ports: ControllerPorts, random: Random
    ) -> None:
        self.member = Member(
            name=settings.name,
            incarnation=new_incarnation(settings.name, random),
            zone=settings.zone,
            host=settings.host,
            control_port=settings.control_port,
            http_port=settings.http_port,
        )
        self._settings = settings
        self._ports = ports
        self._state = ReplicatedControlState(ports.clock)
        self._leader_tasks: LeaderTasks | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self.node = self._make_node()
        self._routers = RouterRegistry(ports.clock)
        self._views = ViewPublisher(self.node, self._state, self._routers, ports.clock)
        self._reporter = RouterReporter(self.member, self.node, self._routers, ports.clock)
        control_plane = ControllerControlPlane(
            self.node, self._state, self._routers, lambda: self._leader_tasks
        )
        self.administration = ControllerAdministration(
            self.node, all_operations(control_plane), self.member
        )
        self._server = RpcServer(settings.control_address, self._handle_frame)
        self.metrics = self._make_metrics()

    async def start(self) -> None:
        """Open the control port and start the background tasks.

        :raises OSError: the control port cannot be bound.
        """
        await self._server.start()
        self._spawn(self.node.run(), "controller:node")
        self._spawn(self._lead_when_leader(), "controller:lead")
        self._spawn(self._reporter.run(), "controller:report_routers")
        log_message(
            message_type="controller:started",
            name=self.member.name,
            incarnation=self.member.incarnation,
        )

    async def stop(self) -> None:
        """Resign leadership and stop all tasks."""
        await self.node.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._server.stop()
        log_message(message_type="controller:stopped", name=self.member.name)

    async def wait_failed(self) -> str:
        """Wait until a background task has ended unexpectedly; return its name."""
        return await wait_for_failure(self._tasks)

    def _make_node(self) -> ControlLogNode:
        return ControlLogNode(
            self.member,
            self._settings.group_id,
            self._state,
            self._ports.table,
            self._ports.clock,
            LogTiming(),
        )

    def _make_metrics(self) -> ControllerMetrics:
        metrics = ControllerMetrics()
        node = self.node
        metrics.add_gauge("term", "Newest epoch known", lambda: node.status.term)
        metrics.add_gauge("generation", "Generation of the log", lambda: node.status.generation)
        metrics.add_gauge("commit_index", "Committed index", lambda: node.status.commit_index)
        metrics.add_gauge("is_leader", "1 while it leads", lambda: node.status.role is Role.LEADER)
        metrics.add_gauge("ranges", "Ranges known", lambda: len(self._state.ranges()))
        metrics.add_gauge("servers", "Servers known", lambda: len(self._state.servers()))
        metrics.add_gauge(
            "live_routers",
            "Routers that polled lately",
            lambda: len(self._routers.live_routers()),
        )
        metrics.add_gauge(
            "settings_version", "Version in force", lambda: self._state.settings.version
        )
        return metrics

    def _spawn(self, coroutine: Coroutine[Any, Any, None], name: str) -> None:
        self._tasks.append(asyncio.create_task(coroutine, name=name))

    async def _lead_when_leader(self) -> None:
        while True:
            term = await self.node.wait_leadership()
            self._leader_tasks = LeaderTasks(
                self.node,
                self._state,
                self._ports,
                self._settings.group_id,
                term,
                self._routers,
            )
            try:
                await self._leader_tasks.run()
            finally:
                self._leader_tasks = None

    async def _handle_frame(self, frame: Frame) -> Frame:
        payload = frame.WhichOneof("payload")
        if payload == "view_request":
            return await self._views.handle(frame.view_request)
        if payload == "router_report":
            self._routers.record_report(frame.router_report)
            return Frame(router_report_reply=RouterReportReply())
        if payload == "admin_request":
            return await self.administration.handle_frame(frame.admin_request)
        return await self.node.handle(frame)
