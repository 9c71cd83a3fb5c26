"""Simulated operators: settings changes through any node, some of them racing."""

import asyncio
import json

from indigoworks.admin.admin_call import AdminCall
from indigoworks.admin.admin_response import AdminResponse
from indigoworks.admin.administration import Administration
from indigoworks_lab.checkers.history.settings_change import SettingsChangeCall
from indigoworks_lab.simulation.core.simulated_process import SimulatedProcess
from indigoworks_lab.simulation.deployment import Deployment
from indigoworks_lab.simulation.workload.change_marker import marked_tree

PATIENCE_S = 8.0
FIRST_CHANGE_RETRY_S = 0.5
SETTINGS_PATH = "/admin/v1/settings"


class Operators:
    """Sends changes of the settings and records how each was answered."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._recorder = deployment.simulation.recorder
        self._random = deployment.simulation.random("operators")
        self._changes = 0

    async def put_first_settings(self) -> None:
        """Ask until the first tree is accepted; its services are then known."""
        while True:
            change = await self.change(0)
            if change.is_accepted:
                return
            await asyncio.sleep(FIRST_CHANGE_RETRY_S)

    async def race(self, operators: int) -> None:
        """Let several operators read the same version and send different trees at once."""
        version = await self.read_version()
        if version is None:
            return
        await asyncio.gather(*(self.change(version) for _ in range(operators)))

    async def read_version(self) -> int | None:
        """Return the version that some node says is in force."""
        answer = await self._ask("GET", SETTINGS_PATH, b"")
        if answer is None or answer.status != 200:
            return None
        version: int = json.loads(answer.body)["version"]
        return version

    async def change(self, expected_version: int) -> SettingsChangeCall:
        """Send one change through any node and record its answer."""
        self._changes += 1
        change_id = str(self._changes)
        shape = self._deployment.shape
        tree = marked_tree(
            change_id, [service for service, _ in shape.servers], shape.initial_ranges
        )
        body = {"change_id": change_id, "expected_version": expected_version, "tree": tree}
        record = SettingsChangeCall(change_id, expected_version, self._recorder.now_s())
        self._recorder.history.settings_changes.append(record)
        answer = await self._ask("PUT", SETTINGS_PATH, json.dumps(body).encode())
        if answer is None:
            return record
        record.answered_s = self._recorder.now_s()
        record.status = answer.status
        if record.is_accepted:
            record.version = json.loads(answer.body)["version"]
        return record

    async def drain(self, server: str) -> bool:
        """Ask for a back end to be emptied; True when the system accepted it."""
        answer = await self._ask("POST", f"/admin/v1/servers/{server}/drain", b"")
        return answer is not None and answer.status in (200, 202)

    async def _ask(self, method: str, path: str, body: bytes) -> AdminResponse | None:
        process, administration = self._random.choice(self._nodes())
        asking = process.spawn(administration.handle(AdminCall(method, path, body)))
        done, _ = await asyncio.wait({asking}, timeout=PATIENCE_S)
        return asking.result() if done else None

    def _nodes(self) -> list[tuple[SimulatedProcess, Administration]]:
        nodes: list[tuple[SimulatedProcess, Administration]] = [
            (host.process, host.controller.administration)
            for host in self._deployment.controllers.values()
        ]
        return nodes
