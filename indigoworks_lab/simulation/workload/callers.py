"""Simulated callers: reads and writes that may not be repeated."""

import asyncio
from random import Random

from indigoworks.router.caller_request import CallerRequest
from indigoworks.router.caller_response import CallerResponse
from indigoworks_lab.checkers.history.call import Call
from indigoworks_lab.checkers.history.call_outcome import CallOutcome
from indigoworks_lab.simulation.deployment import Deployment
from indigoworks_lab.simulation.router_host import RouterHost

MIN_PAUSE_S = 0.3
MAX_PAUSE_S = 2.4
CALLERS_PER_KEY = 2
"""More than one, so that requests on one key meet each other."""

PATIENCE_S = 3.0
"""Time after which a caller takes its request as unknown."""

WRITE_RATIO = 0.5
CANCEL_RATIO = 0.5
"""Share of the callers that close their connection when they give up."""


class Callers:
    """Callers of each key, which send one request after another through any router."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._recorder = deployment.simulation.recorder
        self._tasks: list[asyncio.Task[None]] = []
        self._is_stopping = False
        self._requests = 0

    def start(self) -> None:
        """Start the callers."""
        shape = self._deployment.shape
        for service, _ in shape.servers:
            for number in range(shape.keys_per_service):
                key = f"{service}-key-{number}".encode()
                for caller in range(CALLERS_PER_KEY):
                    name = f"caller:{service}:{number}:{caller}"
                    random = self._deployment.simulation.random(name)
                    calling = self._call_on(service, key, random)
                    self._tasks.append(asyncio.ensure_future(calling))

    async def stop(self) -> None:
        """Wait until each caller has its last answer or has given up."""
        self._is_stopping = True
        await asyncio.gather(*self._tasks)

    async def _call_on(self, service: str, key: bytes, random: Random) -> None:
        while not self._is_stopping:
            await asyncio.sleep(random.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
            routers = list(self._deployment.routers.values())
            usable = [each for each in routers if each.process.is_alive and not each.is_stopping]
            if usable:
                await self._call_once(random.choice(usable), service, key, random)

    async def _call_once(
        self, router: RouterHost, service: str, key: bytes, random: Random
    ) -> None:
        self._requests += 1
        is_write = random.random() < WRITE_RATIO
        request = CallerRequest(
            request_id=f"request-{self._requests}",
            service=service,
            key=key,
            group="default",
            method="POST" if is_write else "GET",
            path=f"/v1/{service}/{key.decode()}",
            body=b"x" if is_write else b"",
        )
        call = Call(
            request.request_id,
            service,
            key,
            router.process.name,
            not is_write,
            self._recorder.now_s(),
        )
        self._recorder.history.calls.append(call)
        answering = router.process.spawn(router.router.handle(request))
        done, _ = await asyncio.wait({answering}, timeout=PATIENCE_S)
        if done and not answering.cancelled():
            self._record_answer(call, answering.result())
            return
        call.is_cut = not router.process.is_alive
        if random.random() < CANCEL_RATIO:
            router.process.spawn(_cancel(answering))

    def _record_answer(self, call: Call, response: CallerResponse) -> None:
        call.answered_s = self._recorder.now_s()
        call.outcome = CallOutcome(response.outcome.value)
        call.status = response.status
        call.body = response.body


async def _cancel(task: asyncio.Task[CallerResponse]) -> None:
    task.cancel()
