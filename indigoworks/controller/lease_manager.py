"""The leader's set of lease tasks, one for each server."""

import asyncio
from collections.abc import Sequence

from indigoworks.controller.control_state import ReplicatedControlState
from indigoworks.controller.controller_ports import ControllerPorts
from indigoworks.controller.leadership import Leadership
from indigoworks.controller.lease_timing import RENEWAL_INTERVAL_S
from indigoworks.controller.server_lease_task import ServerLeaseTask
from indigoworks.wire.control_pb2 import (
    SERVER_STATE_LEAVING,
    SERVER_STATE_LIVE,
    RangeRecord,
    Server,
)

START_SPACING_S = 0.001
"""Spacing of the first renewals of servers. A new leader starts many at once: all in one iteration
of the event loop would delay the renewal of its own lease, and again in every later round."""

LEASED_STATES = (SERVER_STATE_LIVE, SERVER_STATE_LEAVING)
"""States in which a server holds a lease."""


class LeaseManager:
    """Runs one lease task for each server in LEASED_STATES, while this controller leads."""

    def __init__(
        self,
        state: ReplicatedControlState,
        leadership: Leadership,
        ports: ControllerPorts,
        changed: asyncio.Event,
    ) -> None:
        self._state = state
        self._leadership = leadership
        self._ports = ports
        self._changed = changed
        self._leases: dict[str, ServerLeaseTask] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._reconciled_version: int | None = None

    def reconcile(self) -> None:
        """Start, stop and wake lease tasks to match the replicated state."""
        if self._reconciled_version == self._state.version:
            return
        self._reconciled_version = self._state.version
        leased = {s.name: s for s in self._state.servers() if s.state in LEASED_STATES}
        for name in list(self._leases):
            server = leased.get(name)
            if server is None or server.incarnation != self._leases[name].server.incarnation:
                self._stop_task(name)
        new = [server for name, server in leased.items() if name not in self._leases]
        for position, server in enumerate(new):
            self._start_task(server, position * START_SPACING_S % RENEWAL_INTERVAL_S)
        for lease in self._leases.values():
            lease.wake_if_grants_changed()

    def close(self) -> None:
        """Stop all lease tasks."""
        for name in list(self._leases):
            self._stop_task(name)

    def lost_servers(self) -> Sequence[Server]:
        """Mark as lost and return the servers that do not respond and whose leases have lapsed.

        Their leases are not renewed again until they register again.
        """
        return [lease.server for lease in self._leases.values() if lease.mark_lost_if_expired()]

    def draining_servers(self) -> Sequence[Server]:
        """Return the servers that asked to be drained."""
        return [lease.server for lease in self._leases.values() if lease.is_draining]

    def is_responding(self, server: Server) -> bool:
        """Return whether this incarnation of the server answered the latest renewal."""
        lease = self._leases.get(server.name)
        if lease is None or lease.server.incarnation != server.incarnation:
            return False
        return lease.is_responding

    def has_released(self, record: RangeRecord) -> bool:
        """Return whether the owner reported that it no longer serves the range."""
        lease = self._leases.get(record.owner)
        if lease is None or lease.server.incarnation != record.owner_incarnation:
            return False
        return (record.start, record.token) in lease.released

    def _start_task(self, server: Server, delay_s: float) -> None:
        lease = ServerLeaseTask(server, self._state, self._leadership, self._ports, self._changed)
        self._leases[server.name] = lease
        self._tasks[server.name] = asyncio.ensure_future(lease.run(delay_s))

    def _stop_task(self, name: str) -> None:
        del self._leases[name]
        self._tasks.pop(name).cancel()
