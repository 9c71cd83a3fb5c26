"""A machine whose server process ends under certain requests, and starts again."""

import asyncio
from collections.abc import Callable

from indigoworks.common.address import Address
from indigoworks_lab.crash_simulation.crash_shape import CrashShape
from indigoworks_lab.crash_simulation.machine_fault import MachineFault
from indigoworks_lab.crash_simulation.machine_run import MachineRun
from indigoworks_lab.crash_simulation.machine_wishes import MachineWishes

MISDIRECTED = 421
SERVED = 200
PORT = 80
FIRST_START_MS = 1_000_000
MS_PER_S = 1000.0


class CrashMachine:
    """The lives of one server process, one after the other.

    :param is_harmful: tells whether a server ends under a target.
    :param loses_answer: tells of a run that ended well whether its answer is lost.
    :param on_end: called with the machine when its process has ended.
    :ivar started_ms: milliseconds of the newest start on the wall clock.
    :ivar runs: every run that began here.
    :ivar fault: how it fails; None: it does not.
    :ivar honest_errors: share of the runs that it answers with its own 500.
    :ivar fails_on: target of the requests that it answers with 500.
    :ivar resets_when_full: it resets connections of requests beyond its slots.
    :ivar resets: how many it has reset.
    :ivar wishes: what the machine asks of gateways in its answers.
    """

    def __init__(
        self,
        service: str,
        number: int,
        host: str,
        zone: str,
        shape: CrashShape,
        is_harmful: Callable[[str], bool],
        loses_answer: Callable[[], bool],
        on_end: Callable[["CrashMachine"], None],
    ) -> None:
        self.service = service
        self.zone = zone
        self.address = Address(host, PORT)
        self.slots = shape.slots
        self.is_up = False
        self.is_dark = False
        self.life = 0
        self.started_ms = 0
        self.runs: list[MachineRun] = []
        self.wishes = MachineWishes()
        self.fault: MachineFault | None = None
        self.honest_errors = 0.0
        self.fails_on = ""
        self.resets_when_full = False
        self.resets = 0
        self._name = f"{service}-{number}"
        self._shape = shape
        self._is_harmful = is_harmful
        self._loses_answer = loses_answer
        self._on_end = on_end
        self._in_hand: dict[asyncio.Future[int | None], None] = {}
        self._free = asyncio.Semaphore(shape.slots)

    @property
    def server_id(self) -> str:
        """Return the id of the newest life."""
        return self._name if self._shape.keeps_id else f"{self._name}.{self.life}"

    def start(self) -> None:
        """Start a new life."""
        self.life += 1
        self.started_ms = FIRST_START_MS + round(MS_PER_S * asyncio.get_running_loop().time())
        self.is_up = True
        self._in_hand = {}
        self._free = asyncio.Semaphore(self.slots)

    def end(self, is_dark: bool = False) -> None:
        """End the process with all that it has in hand.

        :param is_dark: nobody hears of it; otherwise its connections are reset.
        """
        if not self.is_up:
            return
        self.is_up, self.is_dark = False, is_dark
        for answer in [] if is_dark else list(self._in_hand):
            if not answer.done():
                answer.set_result(None)
        self._on_end(self)

    def is_reset_by_load(self) -> bool:
        """Return whether one more request is beyond the slots, and its connection is reset."""
        return self.resets_when_full and len(self._in_hand) >= self.slots

    async def run(self, target: str, caller: str, gateway: str, meant_id: str) -> int | None:
        """Return the status of a request, or None where the connection breaks off."""
        if meant_id != self.server_id:
            return MISDIRECTED
        answer: asyncio.Future[int | None] = asyncio.get_running_loop().create_future()
        self._in_hand[answer] = None
        work = asyncio.ensure_future(self._work(target, caller, gateway, answer))
        try:
            return await answer
        finally:
            self._in_hand.pop(answer, None)
            work.cancel()

    async def _work(
        self, target: str, caller: str, gateway: str, answer: "asyncio.Future[int | None]"
    ) -> None:
        life = self.life
        async with self._free:
            now_s = asyncio.get_running_loop().time()
            self.runs.append(MachineRun(now_s, target, caller, gateway, self.server_id, life))
            is_harmful = self._is_harmful(target)
            await asyncio.sleep(self._shape.crash_s if is_harmful else self._shape.work_s)
            if self.life != life:
                return
            if is_harmful:
                self.end(self._shape.is_dark)
            elif not answer.done() and self.is_up:
                answer.set_result(None if self._loses_answer() else SERVED)
