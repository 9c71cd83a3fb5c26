"""Controllers and routers of the product on simulated hosts."""

import asyncio
import json
from pathlib import Path
from typing import Any

import yaml

from indigoworks.admin.admin_call import AdminCall
from indigoworks.common.clock import LoopClock
from indigoworks.controller.control_state import ReplicatedControlState
from indigoworks.controller.controller import Controller
from indigoworks.controller.controller_ports import ControllerPorts
from indigoworks.platform.machine_record import MachineRecord
from indigoworks.router.router import Router
from indigoworks.router.router_ports import RouterPorts
from indigoworks.settings.controller_settings import ControllerSettings
from indigoworks.settings.router_settings import RouterSettings
from indigoworks_lab.bench.deployment.backend_link import BackendLink
from indigoworks_lab.bench.deployment.entry_host import EntryHost
from indigoworks_lab.bench.deployment.machines import Machines
from indigoworks_lab.bench.deployment.variant import Variant
from indigoworks_lab.bench.installation.installation import ZONES
from indigoworks_lab.bench.network.current_host import spawn_on

CONTROL_PORT = 7000
HTTP_PORT = 8001
PLATFORM_URL = "http://10.250.0.1:9000"
RETRY_PAUSE_S = 0.5
READY_WITHIN_S = 30.0
SETTINGS_PATH = "/admin/v1/settings"


class ControlPlaneHosts:
    """The product's processes of one run.

    :ivar entries: the routers, as callers reach them.
    """

    def __init__(self, machines: Machines, variant: Variant, tree_directory: Path) -> None:
        self.entries: list[EntryHost] = []
        self._machines = machines
        self._variant = variant
        self._tree_file = tree_directory / machines.installation.tree_file
        self._controllers: list[Controller] = []
        self._routers: list[Router] = []

    async def start(self) -> None:
        """Start all processes and wait until every key is owned and every router knows it.

        :raises TimeoutError: that took longer than READY_WITHIN_S.
        """
        zones = [ZONES[number % len(ZONES)] for number in range(self._count_of_controllers())]
        hosts = [self._machines.new_host(zone) for zone in zones]
        seeds = [f"{host}:{CONTROL_PORT}" for host in hosts]
        for number, host in enumerate(hosts):
            self._start_controller(number, host, zones[number], seeds)
        for number in range(self._machines.installation.routers):
            self._start_router(number, ZONES[number % len(ZONES)], seeds)
        async with asyncio.timeout(READY_WITHIN_S):
            await self._put_tree(hosts[0])
            await self._wait_until_ready()

    def newest_state(self) -> ReplicatedControlState:
        """Return the applied state of the controller that is furthest."""
        states = [each._state for each in self._controllers]
        return max(states, key=lambda state: state.applied_index)

    def _count_of_controllers(self) -> int:
        return self._machines.installation.controllers

    def _start_controller(self, number: int, host: str, zone: str, seeds: list[str]) -> None:
        name = f"controller-{number + 1}"
        settings = ControllerSettings(
            name=name,
            zone=zone,
            host=host,
            control_port=CONTROL_PORT,
            http_port=HTTP_PORT,
            platform_url=PLATFORM_URL,
            controllers=seeds,
        )
        platform = self._machines.platform
        ports = ControllerPorts(
            clock=LoopClock(),
            table=platform,
            objects=platform,
            machines=platform,
            backends=BackendLink(host, self._machines.registry, self._machines.topology),
        )
        controller = Controller(settings, ports, self._machines.random(name))
        self._controllers.append(controller)
        platform.list_machine(MachineRecord(name, "controller", "", zone, host, CONTROL_PORT))
        spawn_on(host, controller.start())

    def _start_router(self, number: int, zone: str, seeds: list[str]) -> None:
        name = f"router-{number + 1}"
        host = self._machines.new_host(zone)
        settings = RouterSettings(
            name=name,
            zone=zone,
            host=host,
            control_port=CONTROL_PORT,
            http_port=HTTP_PORT,
            platform_url=PLATFORM_URL,
            controllers=seeds,
        )
        ports = RouterPorts(
            clock=LoopClock(),
            machines=self._machines.platform,
            backends=BackendLink(host, self._machines.registry, self._machines.topology),
            objects=self._machines.platform,
        )
        router = Router(settings, ports, self._machines.random(name))
        self._routers.append(router)
        self.entries.append(EntryHost(host, router))
        record = MachineRecord(name, "router", "", zone, host, CONTROL_PORT)
        self._machines.platform.list_machine(record)
        spawn_on(host, router.start())

    async def _put_tree(self, host: str) -> None:
        body = {"change_id": "bench", "expected_version": 0, "tree": self._tree()}
        call = AdminCall("PUT", SETTINGS_PATH, json.dumps(body).encode())
        while True:
            answer = await spawn_on(host, self._controllers[0].administration.handle(call))
            if answer.status in (200, 202):
                return
            await asyncio.sleep(RETRY_PAUSE_S)

    def _tree(self) -> dict[str, Any]:
        tree: dict[str, Any] = yaml.safe_load(self._tree_file.read_text())
        if self._variant is Variant.DIRECT:
            tree["defaults"]["hop"] = "direct"
        return tree

    async def _wait_until_ready(self) -> None:
        while not self._is_ready():
            # Nothing tells of a change of all routers' views together.
            await LoopClock().sleep(RETRY_PAUSE_S)

    def _is_ready(self) -> bool:
        installation = self._machines.installation
        views = [router.in_force() for router in self._routers]
        for shape in installation.services:
            for view in views:
                table = view.tables.get(shape.name) if view is not None else None
                if table is None or not len(table) or any(not each.owner for each in table):
                    return False
        return True
