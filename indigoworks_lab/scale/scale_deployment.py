"""Processes of one point of the scale run."""

import asyncio
import json
import math
from collections.abc import Sequence
from dataclasses import asdict
from pathlib import Path
from random import Random
from typing import Any

from indigoworks.common.address import Address
from indigoworks.platform.machine_record import MachineRecord
from indigoworks_lab.client.json_client import JsonClient
from indigoworks_lab.launcher.deployment import Deployment
from indigoworks_lab.launcher.deployment_plan import DeploymentPlan
from indigoworks_lab.launcher.free_ports import LOOPBACK, FreePorts
from indigoworks_lab.launcher.launcher import Launcher
from indigoworks_lab.launcher.plan_deployment import plan_deployment
from indigoworks_lab.launcher.readiness import wait_until_ready
from indigoworks_lab.launcher.server_plan import ServerPlan
from indigoworks_lab.scale.hollow_link import HollowLink
from indigoworks_lab.scale.hollow_links import HollowLinks
from indigoworks_lab.scale.member_names import ZONES, server_address, server_name, zone_name
from indigoworks_lab.scale.scale_point import ScalePoint, service_name
from indigoworks_lab.scale.scale_stopped import ScaleStopped

SERVERS_PER_PROCESS = 400
ROUTERS_PER_PROCESS = 100
READY_TIMEOUT_S = 30.0
MACHINES_AT_ONCE = 32


class ScaleDeployment:
    """One platform stand-in, three real controllers, and hollow members in a few processes."""

    def __init__(self, point: ScalePoint, launcher: Launcher) -> None:
        self.point = point
        self.client = JsonClient()
        self.servers = HollowLinks((), self.client)
        self.routers = HollowLinks((), self.client)
        self._launcher = launcher
        self._ports = FreePorts(Random())
        self._deployment = Deployment(plan_deployment(ZONES, [], self._ports), launcher)
        self._server_port = self._ports.next_port()

    @property
    def plan(self) -> DeploymentPlan:
        """Addresses of platform and controllers."""
        return self._deployment.plan

    async def start_control(self) -> None:
        """Start platform, controllers and hollow back ends, and list the back ends."""
        for started in (
            await self._deployment.start_platform(),
            await self._deployment.start_controllers(),
        ):
            if started.is_err():
                raise ScaleStopped(started.unwrap_err().message)
        self.servers = await self._start_hollow(
            "servers", self.point.servers, SERVERS_PER_PROCESS, [f"--port={self._server_port}"]
        )
        await self._list_servers()

    async def start_routers(self) -> None:
        """Start all hollow routers at once."""
        file = self._write_controllers()
        self.routers = await self._start_hollow(
            "routers", self.point.routers, ROUTERS_PER_PROCESS, [f"--controllers-file={file}"]
        )

    def end_routers(self) -> None:
        """Kill all hollow routers."""
        for link in self.routers.links:
            link.process.end()

    def controller_pids(self) -> dict[str, int]:
        """Return the process ids of the controllers, by name."""
        return {
            each.name: self._launcher.processes[each.name].pid for each in self.plan.controllers
        }

    def platform_pid(self) -> int:
        """Return the process id of the platform stand-in."""
        return self._launcher.processes["platform"].pid

    async def admin(self, method: str, path: str, body: dict[str, Any] | None = None) -> Any:
        """Ask the administration API of the first controller; None where it gave no result."""
        address = self.plan.controllers[0].http
        full_path = f"/admin/v1/{path}"
        if method == "GET":
            answer = await self.client.get(address, full_path)
        else:
            answer = await self.client.put(address, full_path, body or {})
        return answer.body if answer.status == 200 else None

    async def _start_hollow(
        self, kind: str, count: int, per_process: int, arguments: Sequence[str]
    ) -> HollowLinks:
        processes = math.ceil(count / per_process)
        starts = []
        for number in range(processes):
            first = count * number // processes
            end = count * (number + 1) // processes
            starts.append(self._start_one(f"{kind}-{number}", kind, first, end - first, arguments))
        return HollowLinks(await asyncio.gather(*starts), self.client)

    async def _start_one(
        self, name: str, kind: str, first: int, count: int, arguments: Sequence[str]
    ) -> HollowLink:
        control = Address(LOOPBACK, self._ports.next_port())
        command = ["-m", "indigoworks_lab.scale.hollow_process", kind]
        command += [f"--first={first}", f"--count={count}", f"--control-port={control.port}"]
        process = self._launcher.start(f"hollow-{name}", "python", [*command, *arguments])
        url = f"http://{control}/state"
        ready = await wait_until_ready(process, url, READY_TIMEOUT_S)
        if ready.is_err():
            raise ScaleStopped(ready.unwrap_err().message)
        return HollowLink(process, control, first, count)

    async def _list_servers(self) -> None:
        for first in range(0, self.point.servers, MACHINES_AT_ONCE):
            end = min(first + MACHINES_AT_ONCE, self.point.servers)
            steering = self._deployment.steering
            await asyncio.gather(
                *(steering.put_server(self._server_plan(index)) for index in range(first, end))
            )

    def _server_plan(self, index: int) -> ServerPlan:
        return ServerPlan(
            name=server_name(index),
            service=service_name(index),
            zone=zone_name(index),
            http=server_address(index, self._server_port),
            slots=2,
            connections=100,
            seed=index,
        )

    def _write_controllers(self) -> Path:
        records = [
            MachineRecord(
                each.name, "controller", "", each.zone, each.control.host, each.control.port
            )
            for each in self.plan.controllers
        ]
        file = self._launcher.log_directory / "controllers.json"
        file.write_text(json.dumps([asdict(record) for record in records]))
        return file
