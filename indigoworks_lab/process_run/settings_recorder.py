"""Settings changes of a run, recorded as the checkers read them."""

import asyncio
from collections.abc import Sequence
from typing import Any

from indigoworks.common.address import Address
from indigoworks_lab.checkers.history.settings_change import SettingsChangeCall
from indigoworks_lab.checkers.history.settings_use import SettingsUse
from indigoworks_lab.client.json_client import JsonClient
from indigoworks_lab.launcher.sample_tree import sample_tree


class SettingsRecorder:
    """Changes the settings as an operator does, and looks up what the routers have in force."""

    def __init__(self, client: JsonClient, routers: Sequence[str]) -> None:
        self._client = client
        self._routers = routers
        self.changes: list[SettingsChangeCall] = []
        self.uses: list[SettingsUse] = []

    async def version_at(self, controller: Address) -> int | None:
        """Return the version that `controller` has applied; None where it does not answer."""
        answer = await self._client.get(controller, "/admin/v1/health")
        return int(answer.body["settings_version"]) if answer.status == 200 else None

    async def change(self, node: Address, change_id: str, expected_version: int) -> int:
        """Ask `node` for a change.

        :returns: status of its answer.
        """
        fields = {
            "change_id": change_id,
            "expected_version": expected_version,
            "tree": _changed_tree(len(self.changes)),
        }
        change = SettingsChangeCall(change_id, expected_version, _now_s())
        self.changes.append(change)
        answer = await self._client.put(node, "/admin/v1/settings", fields)
        change.answered_s = _now_s()
        change.status = answer.status
        if change.is_accepted:
            change.version = int(answer.body["version"])
        return change.status

    async def observe(self, controller: Address) -> bool:
        """Record what the routers have in force, as `controller` tells it.

        :returns: whether every router has the version that the controller tells.
        """
        settings = await self._client.get(controller, "/admin/v1/settings")
        answer = await self._client.get(controller, "/admin/v1/routers")
        if settings.status != 200 or answer.status != 200:
            return False
        rows: list[dict[str, Any]] = answer.body["routers"]
        in_force = [row for row in rows if row["settings_version"] == settings.body["version"]]
        for row in in_force:
            self._record(str(row["member"]["name"]), settings.body)
        return {row["member"]["name"] for row in in_force} == set(self._routers)

    def _record(self, router: str, settings: dict[str, Any]) -> None:
        number = self._routers.index(router)
        use = SettingsUse(_now_s(), router, number, settings["version"], settings["change_id"])
        self.uses.append(use)


def _changed_tree(number: int) -> dict[str, Any]:
    """Return the sample tree with a weight that differs from change to change."""
    tree: dict[str, Any] = sample_tree()
    tree["groups"]["default"] = {"weight": 2 + number}
    return tree


def _now_s() -> float:
    return asyncio.get_running_loop().time()
