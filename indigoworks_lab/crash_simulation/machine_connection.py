"""A connection to a simulated machine."""

import asyncio
from collections.abc import Callable

from tornado.httputil import HTTPHeaders

from indigoworks.common.address import Address
from indigoworks.gateway.answer_collector import AnswerCollector
from indigoworks.gateway.server_connection import ServerConnection
from indigoworks_lab.crash_simulation.crash_machine import CrashMachine
from indigoworks_lab.crash_simulation.simulated_names import CALLER_HEADER, NAMES

LINK_S = 0.001


class MachineConnection(ServerConnection):
    """Does what a `ServerConnection` does, on virtual time and without a socket."""

    def __init__(
        self,
        address: Address,
        gateway: str,
        machine_at: Callable[[Address], CrashMachine | None],
    ) -> None:
        self._address = address
        self._gateway = gateway
        self._machine_at = machine_at
        self._machine: CrashMachine | None = None
        self._life = 0

    async def connect(self, timeout_s: float) -> bool:
        """Connect; a machine that is dark says nothing, one without a process refuses."""
        await asyncio.sleep(LINK_S)
        machine = self._machine_at(self._address)
        if machine is None:
            return False
        if not machine.is_up:
            await asyncio.sleep(timeout_s if machine.is_dark else 0.0)
            return False
        self._machine, self._life = machine, machine.life
        return True

    @property
    def is_reusable(self) -> bool:
        """Tell whether the process that was connected to still runs."""
        machine = self._machine
        return machine is not None and machine.is_up and machine.life == self._life

    def watch_while_idle(self) -> None:
        """Watch nothing: `is_reusable` looks at the machine."""

    async def exchange(
        self, method: str, target: str, headers: HTTPHeaders, body: bytes, request_id: str
    ) -> AnswerCollector | None:
        """Let the machine run a request."""
        machine, life = self._machine, self._life
        assert machine is not None
        await asyncio.sleep(LINK_S)
        if not machine.is_up or machine.life != life:
            return None
        caller = headers.get(CALLER_HEADER, "")
        status = await machine.run(target, caller, self._gateway, headers[NAMES.server_id])
        await asyncio.sleep(LINK_S)
        return None if status is None else _answer(status, machine.server_id)

    def abort(self) -> None:
        """Break the connection off."""
        self._machine = None


def _answer(status: int, server_id: str) -> AnswerCollector:
    answer = AnswerCollector()
    answer.status = status
    answer.headers = HTTPHeaders({NAMES.answering_server_id: server_id})
    answer.data_received(b"done")
    return answer
