"""The processes whose hops are measured."""

from http import HTTPStatus

from result import Err, Ok, Result

from indigoworks.common.address import Address
from indigoworks.common.errors import IndigoworksError
from indigoworks_lab.client.json_client import JsonClient
from indigoworks_lab.client.polling import becomes_true
from indigoworks_lab.launcher.controller_plan import ControllerPlan
from indigoworks_lab.launcher.deployment import LAB, Deployment
from indigoworks_lab.launcher.deployment_plan import DeploymentPlan
from indigoworks_lab.launcher.free_ports import LOOPBACK, FreePorts
from indigoworks_lab.launcher.launcher import Launcher
from indigoworks_lab.launcher.managed_process import ManagedProcess
from indigoworks_lab.launcher.readiness import wait_until_ready
from indigoworks_lab.launcher.router_plan import RouterPlan
from indigoworks_lab.launcher.server_arguments import server_arguments
from indigoworks_lab.launcher.server_plan import ServerPlan
from indigoworks_lab.load.hop_cost_plan import HopCostPlan
from indigoworks_lab.load.load_errors import LoadError

SERVICE = "catalogue"
ZONE = "zone-1"
ROUTED = "routed"
DIRECT = "direct"
READY_TIMEOUT_S = 20.0
CONNECTIONS = 100
QUEUE_LIMIT = 64
"""Above the callers of the closed loop, so that the back end sheds nothing."""


def plan_hops(plan: HopCostPlan, ports: FreePorts) -> DeploymentPlan:
    """Plan one controller, two routers and two like back ends in one zone.

    Only the back end ROUTED is entered in the list of machines.
    """
    servers = tuple(
        ServerPlan(name, SERVICE, ZONE, _address(ports), plan.slots, CONNECTIONS, plan.seed)
        for name in (ROUTED, DIRECT)
    )
    return DeploymentPlan(
        platform=_address(ports),
        controllers=(ControllerPlan("controller", ZONE, _address(ports), _address(ports)),),
        routers=tuple(
            RouterPlan(f"router-{number}", ZONE, _address(ports), _address(ports))
            for number in range(2)
        ),
        servers=servers,
    )


class HopDeployment:
    """Starts the processes and waits until the back end ROUTED owns its service."""

    def __init__(self, plan: HopCostPlan, deployment: DeploymentPlan, launcher: Launcher) -> None:
        self._plan = plan
        self.servers = {server.name: server for server in deployment.servers}
        self.routers = {router.name: router for router in deployment.routers}
        self._controller = deployment.controllers[0]
        self._deployment = Deployment(deployment, launcher)
        self._client = JsonClient()

    async def start(self) -> Result[None, IndigoworksError]:
        """Start everything."""
        started: Result[None, IndigoworksError] = await self._start_processes()
        if started.is_err():
            return started
        if not await becomes_true(self._put_tree, READY_TIMEOUT_S):
            return Err(_not_reached("No settings tree was accepted."))
        if not await becomes_true(self._is_owned, READY_TIMEOUT_S):
            return Err(_not_reached("The back end did not get its service."))
        return Ok(None)

    def process(self, name: str) -> ManagedProcess:
        """Return the process of that name."""
        return self._deployment.launcher.processes[name]

    async def _start_processes(self) -> Result[None, IndigoworksError]:
        for start in (
            self._deployment.start_platform,
            self._deployment.start_controllers,
            self._start_back_ends,
            self._deployment.start_routers,
        ):
            started = await start()
            if started.is_err():
                return Err(started.unwrap_err())
        return Ok(None)

    async def _start_back_ends(self) -> Result[None, IndigoworksError]:
        for server in self.servers.values():
            process = self._deployment.launcher.start(server.name, LAB, self._flags(server))
            url = f"http://{server.http}/control/status"
            ready = await wait_until_ready(process, url, READY_TIMEOUT_S)
            if ready.is_err():
                return Err(ready.unwrap_err())
        await self._deployment.steering.put_server(self.servers[ROUTED])
        return Ok(None)

    def _flags(self, server: ServerPlan) -> list[str]:
        return [
            *server_arguments(server),
            f"--queue-limit={QUEUE_LIMIT}",
            f"--service-median-ms={self._plan.service_median_ms}",
            "--service-sigma=0",
            "--cold-requests=0",
        ]

    async def _put_tree(self) -> bool:
        tree = {"services": {SERVICE: {"placement": {"initial_ranges": 1}}}}
        fields = {"change_id": "hop-cost", "expected_version": 0, "tree": tree}
        answer = await self._client.put(self._controller.http, "/admin/v1/settings", fields)
        return answer.status == HTTPStatus.OK

    async def _is_owned(self) -> bool:
        for router in self.routers.values():
            path = f"/admin/v1/owners?service={SERVICE}"
            answer = await self._client.get(router.http, path)
            ranges = answer.body.get("ranges", []) if answer.status == HTTPStatus.OK else []
            if not ranges or any(each["owner"] != ROUTED for each in ranges):
                return False
        return True


def _address(ports: FreePorts) -> Address:
    return Address(LOOPBACK, ports.next_port())


def _not_reached(message: str) -> LoadError:
    return LoadError(message, "See the logs of the processes in the log directory.")
