"""Background tasks of a controller while it leads."""

import asyncio

from eliot import log_message

from indigoworks.controller.control_state import ReplicatedControlState
from indigoworks.controller.controller_ports import ControllerPorts
from indigoworks.controller.leadership import Leadership
from indigoworks.controller.lease_manager import LeaseManager
from indigoworks.controller.ownership_manager import OwnershipManager
from indigoworks.controller.router_registry import RouterRegistry
from indigoworks.controller.server_discovery import ServerDiscovery
from indigoworks.controller.settings_service import SettingsService
from indigoworks.controller.settings_table import SettingsTable
from indigoworks.controller.view_snapshot_writer import ViewSnapshotWriter
from indigoworks.controllog.control_log_node import ControlLogNode

LEADERSHIP_CHECK_INTERVAL_S = 0.05
"""Interval at which the leader checks that it still leads."""


class LeaderTasks:
    """Runs leases, ownership, discovery, settings and view snapshots during one term."""

    def __init__(
        self,
        node: ControlLogNode,
        state: ReplicatedControlState,
        ports: ControllerPorts,
        group_id: int,
        term: int,
        routers: RouterRegistry,
    ) -> None:
        self.leadership = Leadership(node, ports.clock, term)
        self._clock = ports.clock
        changed = asyncio.Event()
        self._leases = LeaseManager(state, self.leadership, ports, changed)
        table = SettingsTable(ports.table, group_id, ports.clock)
        self.settings = SettingsService(node, state, self.leadership, table, ports.clock)
        self._ownership = OwnershipManager(
            node, state, self.leadership, self._leases, ports, changed, routers
        )
        self._view_snapshots = ViewSnapshotWriter(
            state, self.leadership, ports.objects, group_id, ports.clock
        )
        self._discovery = ServerDiscovery(node, state, self.leadership, ports, changed)

    async def run(self) -> None:
        """Run all tasks until leadership ends, one of them ends, or this task is cancelled."""
        log_message(message_type="controller:leading", term=self.leadership.term)
        tasks = [
            asyncio.ensure_future(self.settings.run()),
            asyncio.ensure_future(self._ownership.run()),
            asyncio.ensure_future(self._discovery.run()),
            asyncio.ensure_future(self._view_snapshots.run()),
        ]
        try:
            while self.leadership.is_current() and not any(task.done() for task in tasks):
                await self._clock.sleep(LEADERSHIP_CHECK_INTERVAL_S)
        finally:
            for task in tasks:
                task.cancel()
            self._leases.close()
            outcomes = await asyncio.gather(*tasks, return_exceptions=True)
            self._log_end(outcomes)

    def _log_end(self, outcomes: list[BaseException | None]) -> None:
        failures = [
            repr(each)
            for each in outcomes
            if each is not None and not isinstance(each, asyncio.CancelledError)
        ]
        log_message(
            message_type="controller:no_longer_leading",
            term=self.leadership.term,
            failures=failures,
        )
