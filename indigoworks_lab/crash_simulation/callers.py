"""Callers of the simulated gateways."""

import asyncio
import zlib

from indigoworks.gateway.client_request import ClientRequest
from indigoworks.ownership.ownership_table import KEY_COUNT
from indigoworks_lab.crash_simulation.build_gateway import HOST, TIMEOUT_S
from indigoworks_lab.crash_simulation.caller_answer import CallerAnswer
from indigoworks_lab.crash_simulation.crash_gateway import CrashGateway
from indigoworks_lab.crash_simulation.crash_simulation import CrashSimulation
from indigoworks_lab.crash_simulation.simulated_names import CALLER_HEADER, SENT_HEADER

TRIES = 3
COME_BACK_S = 0.3
CALLERS = 30
SERVED = 200


class Callers:
    """Send requests to any gateway that lives, as a balancer before them does."""

    def __init__(self, simulation: CrashSimulation) -> None:
        self._simulation = simulation
        self._tries = 0

    async def ask(
        self,
        target: str,
        caller: str,
        gateway: CrashGateway | None = None,
        method: str = "GET",
        body: bytes = b"",
    ) -> CallerAnswer:
        """Send one try of a caller."""
        chosen = gateway or self._simulation.random.choice(self._simulation.living_gateways())
        self._tries += 1
        now_s = asyncio.get_running_loop().time()
        request = ClientRequest(
            request_id=f"try-{self._tries}",
            method=method,
            host=HOST,
            target=target,
            headers=((CALLER_HEADER, caller), (SENT_HEADER, f"{now_s}")),
            body=body,
            wait_s=TIMEOUT_S,
            key=zlib.crc32(target.encode()) % KEY_COUNT,
            arrived_s=now_s,
            caller=caller,
        )
        answer = await chosen.side.front.respond(request)
        retry_after = dict(answer.headers).get("Retry-After")
        got = CallerAnswer(
            sent_s=now_s,
            at_s=asyncio.get_running_loop().time(),
            target=target,
            caller=caller,
            status=answer.status,
            gateway=chosen.node,
            retry_after_s=None if retry_after is None else float(retry_after),
            text=answer.body.decode(),
        )
        self._simulation.answers.append(got)
        return got

    async def repeat(
        self, target: str, caller: str, count: int, gap_s: float, body: bytes = b""
    ) -> None:
        """Send the same request again and again, whatever comes of it."""
        for _ in range(count):
            self._simulation.spawn(self.ask(target, caller, body=body))
            await asyncio.sleep(gap_s)

    async def send_different(self, service: str, per_s: float, duration_s: float) -> None:
        """Send requests that differ; each comes again where it was not served."""
        for number in range(int(per_s * duration_s)):
            target = f"/{service}/different/{number}"
            self._simulation.spawn(self._until_served(target, f"10.8.0.{number % CALLERS}"))
            await asyncio.sleep(1 / per_s)

    async def send_patient(self, service: str, per_s: float, duration_s: float) -> None:
        """As `send_different`; who is refused comes back when it is told to."""
        for number in range(int(per_s * duration_s)):
            target = f"/{service}/patient/{number}"
            self._simulation.spawn(self._when_told(target, f"10.8.1.{number % CALLERS}"))
            await asyncio.sleep(1 / per_s)

    async def _when_told(self, target: str, caller: str) -> None:
        for _ in range(TRIES):
            got = await self.ask(target, caller)
            if got.status == SERVED or got.retry_after_s is None:
                return
            await asyncio.sleep(got.retry_after_s)

    async def _until_served(self, target: str, caller: str) -> None:
        for _ in range(TRIES):
            got = await self.ask(target, caller)
            if got.status == SERVED:
                return
            await asyncio.sleep(COME_BACK_S)
