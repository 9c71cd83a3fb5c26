"""A whole deployment as processes on loopback."""

import asyncio
from collections.abc import Awaitable, Sequence

from result import Err, Ok, Result

from indigoworks.common.address import Address
from indigoworks_lab.launcher.controller_plan import ControllerPlan
from indigoworks_lab.launcher.deployment_plan import DeploymentPlan
from indigoworks_lab.launcher.launcher import Launcher
from indigoworks_lab.launcher.launcher_errors import ProcessNotReady
from indigoworks_lab.launcher.managed_process import ManagedProcess
from indigoworks_lab.launcher.platform_steering import PlatformSteering
from indigoworks_lab.launcher.readiness import wait_until_ready
from indigoworks_lab.launcher.router_plan import RouterPlan
from indigoworks_lab.launcher.server_arguments import server_arguments
from indigoworks_lab.launcher.server_plan import ServerPlan

READY_TIMEOUT_S = 20.0
PRODUCT = "indigoworks"
LAB = "indigoworks-lab"


class Deployment:
    """Starts the processes of a plan and waits until they answer."""

    def __init__(self, plan: DeploymentPlan, launcher: Launcher) -> None:
        self.plan = plan
        self.launcher = launcher
        self.steering = PlatformSteering(plan.platform_url)

    async def start_platform(self) -> Result[None, ProcessNotReady]:
        """Start the stand-in of the platform."""
        address = self.plan.platform
        arguments = ["platform", f"--host={address.host}", f"--port={address.port}"]
        process = self.launcher.start("platform", LAB, arguments)
        return await self._ready(process, address, "/lab/faults")

    async def start_servers(self) -> Result[None, ProcessNotReady]:
        """Start all back ends and enter them in the list of machines."""
        return await _all_ready([self.start_server(server) for server in self.plan.servers])

    async def start_controllers(self) -> Result[None, ProcessNotReady]:
        """Start all controllers."""
        return await _all_ready([self.start_controller(each) for each in self.plan.controllers])

    async def start_routers(self) -> Result[None, ProcessNotReady]:
        """Start all routers."""
        return await _all_ready([self.start_router(each) for each in self.plan.routers])

    async def start_server(self, server: ServerPlan) -> Result[None, ProcessNotReady]:
        """Start one back end."""
        process = self.launcher.start(server.name, LAB, server_arguments(server))
        ready = await self._ready(process, server.http, "/control/status")
        await self.steering.put_server(server)
        return ready

    async def start_controller(self, controller: ControllerPlan) -> Result[None, ProcessNotReady]:
        """Start one controller."""
        process = self._start_product("controller", controller)
        await self.steering.put_program("controller", controller)
        return await self._ready(process, controller.http, "/health")

    async def start_router(self, router: RouterPlan) -> Result[None, ProcessNotReady]:
        """Start one router."""
        process = self._start_product("router", router)
        await self.steering.put_program("router", router)
        return await self._ready(process, router.http, "/health")

    def _start_product(self, command: str, plan: ControllerPlan | RouterPlan) -> ManagedProcess:
        arguments = [
            command,
            f"--name={plan.name}",
            f"--zone={plan.zone}",
            f"--host={plan.control.host}",
            f"--listen-host={plan.http.host}",
            f"--control-port={plan.control.port}",
            f"--http-port={plan.http.port}",
            f"--platform-url={self.plan.platform_url}",
            f"--controllers={self.plan.controller_list}",
        ]
        return self.launcher.start(plan.name, PRODUCT, arguments)

    async def _ready(
        self, process: ManagedProcess, address: Address, path: str
    ) -> Result[None, ProcessNotReady]:
        return await wait_until_ready(process, f"http://{address}{path}", READY_TIMEOUT_S)


async def _all_ready(
    starts: Sequence[Awaitable[Result[None, ProcessNotReady]]],
) -> Result[None, ProcessNotReady]:
    for outcome in await asyncio.gather(*starts):
        if isinstance(outcome, Err):
            return outcome
    return Ok(None)
