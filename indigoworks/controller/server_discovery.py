"""Discovery of back ends through the platform's machine list."""

import asyncio
from collections.abc import Sequence

from eliot import log_message

from indigoworks.backend.backend_status import BackendStatus
from indigoworks.common.address import Address
from indigoworks.controller.control_state import ReplicatedControlState
from indigoworks.controller.controller_ports import ControllerPorts
from indigoworks.controller.leadership import Leadership
from indigoworks.controller.lease_manager import LEASED_STATES
from indigoworks.controller.lease_timing import DISCOVERY_INTERVAL_S, RENEWAL_TIMEOUT_S
from indigoworks.controllog.control_log_node import ControlLogNode
from indigoworks.platform.machine_record import MachineRecord
from indigoworks.wire.control_pb2 import (
    SERVER_STATE_LEAVING,
    SERVER_STATE_LIVE,
    Command,
    RegisterServer,
    Server,
    SetServerState,
)

SERVER_ROLE = "server"
"""Role that back ends have in the machine list."""


class ServerDiscovery:
    """Registers servers that are in the machine list and confirm their identity.

    The list is only a hint: a server is registered from its own status response, and lost only
    when its lease lapses. A platform outage therefore delays new servers but affects no known one.
    """

    def __init__(
        self,
        node: ControlLogNode,
        state: ReplicatedControlState,
        leadership: Leadership,
        ports: ControllerPorts,
        changed: asyncio.Event,
    ) -> None:
        self._node = node
        self._state = state
        self._leadership = leadership
        self._ports = ports
        self._changed = changed

    async def run(self) -> None:
        """Poll the machine list until cancelled."""
        while True:
            if self._leadership.may_grant():
                await self._poll_once()
            await self._ports.clock.sleep(DISCOVERY_INTERVAL_S)

    async def _poll_once(self) -> None:
        listed = await self._ports.machines.machines()
        if listed.is_err():
            return
        machines = [each for each in listed.unwrap() if each.role == SERVER_ROLE]
        await self._mark_leaving(machines)
        unknown = [each for each in machines if self._may_register(each)]
        await asyncio.gather(*(self._register(machine) for machine in unknown))

    async def _mark_leaving(self, machines: Sequence[MachineRecord]) -> None:
        for machine in machines:
            server = self._state.server(machine.name)
            if machine.is_leaving and server is not None and server.state == SERVER_STATE_LIVE:
                change = SetServerState(
                    server_name=server.name,
                    incarnation=server.incarnation,
                    state=SERVER_STATE_LEAVING,
                )
                await self._node.propose(Command(set_server_state=change))
                self._changed.set()

    def _may_register(self, machine: MachineRecord) -> bool:
        """Return whether the machine is unknown, or was lost and owns no ranges."""
        if machine.is_leaving:
            return False
        server = self._state.server(machine.name)
        if server is None:
            return True
        return server.state not in LEASED_STATES and not self._state.ranges_of_all_incarnations(
            server.name
        )

    async def _register(self, machine: MachineRecord) -> None:
        address = Address(machine.host, machine.port)
        response = await self._ports.backends.read_status(address, RENEWAL_TIMEOUT_S)
        if response.is_err() or response.unwrap().is_draining:
            return
        # The state may have changed while waiting for the response.
        if not self._may_register(machine):
            return
        server = _server_record(machine, response.unwrap())
        await self._node.propose(Command(register_server=RegisterServer(server=server)))
        log_message(
            message_type="membership:server_registered",
            server=server.name,
            incarnation=server.incarnation,
            service=server.service,
            term=self._leadership.term,
        )
        self._changed.set()


def _server_record(machine: MachineRecord, status: BackendStatus) -> Server:
    """Return the record of a server from its own status and the address that was queried."""
    return Server(
        name=machine.name,
        incarnation=status.incarnation,
        service=status.service,
        zone=status.zone,
        host=machine.host,
        port=machine.port,
        slots=status.slots,
        connections=status.connections,
        state=SERVER_STATE_LIVE,
    )
