"""A connection to a simulated machine."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from tornado.httputil import HTTPHeaders

from indigoworks.common.address import Address
from indigoworks.gateway.response_collector import ResponseCollector
from indigoworks.gateway.server_connection import ServerConnection
from indigoworks_lab.crash_simulation.crash_machine import CrashMachine
from indigoworks_lab.crash_simulation.machine_fault import MachineFault
from indigoworks_lab.crash_simulation.machine_wishes import Arrival
from indigoworks_lab.crash_simulation.path_cuts import PathCut
from indigoworks_lab.crash_simulation.simulated_names import (
    CALLER_HEADER,
    LEAVING_HEADER,
    LIMIT_HEADER,
    NAMES,
    REST_HEADER,
    SENT_HEADER,
)

LINK_S = 0.001
CUT_POLL_S = 0.05
TURNED_AWAY = 503
FAILED = 500
SERVED = 200
FOREVER_S = 3600.0


class MachineConnection(ServerConnection):
    """Does what a `ServerConnection` does, on virtual time and without a socket."""

    def __init__(
        self,
        address: Address,
        gateway: str,
        boot: str,
        machine_at: Callable[[Address], CrashMachine | None],
        thawed: Callable[[str], Awaitable[None]],
        cut_of: Callable[[str], PathCut | None] = lambda gateway: None,
    ) -> None:
        self._cut_of = cut_of
        self._address = address
        self._gateway = gateway
        self._life_of_gateway = f"{gateway}/{boot}"
        self._machine_at = machine_at
        self._thawed = thawed
        self._machine: CrashMachine | None = None
        self._life = 0
        self._random = Random(f"{gateway}/{address.host}")

    async def connect(self, timeout_s: float) -> bool:
        """Connect; a machine that is dark says nothing, one without a process refuses."""
        await asyncio.sleep(LINK_S)
        machine = self._machine_at(self._address)
        cut = self._cut_of(self._gateway)
        if cut is not None:
            self.was_refused = cut is PathCut.REFUSED
            await asyncio.sleep(0.0 if self.was_refused else timeout_s)
            return False
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
    ) -> ResponseCollector | None:
        """Let the machine run a request."""
        machine, life = self._machine, self._life
        assert machine is not None
        await self._thawed(self._gateway)
        await asyncio.sleep(LINK_S)
        if not await self._passes() or not machine.is_up or machine.life != life:
            return None
        status = await self._status(machine, target, headers)
        if status is None:
            await asyncio.sleep(LINK_S)
            return None
        answer = self._answer(machine, status)
        await asyncio.sleep(LINK_S)
        if not await self._passes():
            return None
        await self._thawed(self._gateway)
        self.on_head(answer.status, answer.headers)
        return answer

    def abort(self) -> None:
        """Break the connection off."""
        self._machine = None

    async def _passes(self) -> bool:
        """Return whether bytes pass, once they do or the connection has broken off."""
        while (cut := self._cut_of(self._gateway)) is PathCut.SILENT:  # noqa: ASYNC110
            await asyncio.sleep(CUT_POLL_S)
        return cut is not PathCut.REFUSED

    async def _status(self, machine: CrashMachine, target: str, headers: HTTPHeaders) -> int | None:
        """Return the status of the answer; None: the connection breaks off."""
        now_s = asyncio.get_running_loop().time()
        server_id = headers[NAMES.server_id]
        if server_id == machine.server_id:
            sent_s = float(headers.get(SENT_HEADER, "0"))
            arrival = Arrival(now_s, sent_s, self._life_of_gateway, server_id, target)
            machine.wishes.arrivals.append(arrival)
        if machine.wishes.asks_rest(self._gateway):
            return TURNED_AWAY
        if machine.is_reset_by_load():
            machine.resets += 1
            return None
        if target == machine.fails_on:
            return FAILED
        if machine.fault is not None:
            return await self._fail(machine.fault)
        caller = headers.get(CALLER_HEADER, "")
        status = await machine.run(target, caller, self._gateway, server_id)
        is_error = status == SERVED and self._random.random() < machine.honest_errors
        return FAILED if is_error else status

    async def _fail(self, fault: MachineFault) -> int | None:
        if fault is MachineFault.SILENT:
            await asyncio.sleep(FOREVER_S)
        if fault is MachineFault.BREAKS_OFF:
            return None
        return FAILED if fault is MachineFault.ERROR else SERVED

    def _answer(self, machine: CrashMachine, status: int) -> ResponseCollector:
        """Return an answer with what the machine asks for at this moment."""
        wishes = machine.wishes
        now_s = asyncio.get_running_loop().time()
        turns_away = status == TURNED_AWAY
        wishes.note_answer(now_s, self._life_of_gateway, machine.server_id, turns_away)
        answer = ResponseCollector()
        answer.status = status
        answer.headers = HTTPHeaders({NAMES.answering_server_id: machine.server_id})
        if machine.fault is not MachineFault.UNSIGNED:
            answer.headers[NAMES.signature] = "signed"
        if turns_away:
            answer.headers[NAMES.not_run] = "1"
            answer.headers[REST_HEADER] = str(wishes.rest_s)
        if wishes.is_leaving:
            answer.headers[LEAVING_HEADER] = "1"
        if wishes.limit_per_s is not None:
            wishes.note_limit(now_s, self._life_of_gateway, machine.server_id)
            answer.headers[LIMIT_HEADER] = str(wishes.limit_per_s)
        answer.data_received(b"done")
        return answer
