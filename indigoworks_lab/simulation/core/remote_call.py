"""A call from one simulated process to another that is not part of the product."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Any, Generic, TypeVar

from indigoworks_lab.simulation.core.simulated_process import SimulatedProcess

CONNECT_TIMEOUT_S = 0.5
RETRANSMIT_INTERVAL_S = 0.05
GIVE_UP_S = 15.0
"""Time after which bytes held back by a cut are dropped."""

ResultT = TypeVar("ResultT")


class CallEnd(Enum):
    """How a call ended for the caller."""

    ANSWERED = "answered"
    NOT_SENT = "not sent"
    ANSWER_LOST = "answer lost"


@dataclass(frozen=True)
class CallOutcome(Generic[ResultT]):
    """End of a call, and its result if it was answered."""

    end: CallEnd
    result: ResultT | None = None


class RemoteCall:
    """Carries calls over the simulated network, as an HTTP client's connections would.

    The request and the answer are each held back by a cut of their way and arrive after it. The
    called process runs the operation even when the caller has given up; a frozen one runs it after
    its return. An answer can be lost after the operation ran.

    :ivar answers_lost: answers dropped by `lose_answers_ratio` so far.
    """

    def __init__(self, random: Random) -> None:
        self.lose_answers_ratio = 0.0
        self.answers_lost = 0
        self._random = random

    async def call(
        self,
        source: SimulatedProcess,
        target: SimulatedProcess | None,
        operation: Callable[[], Awaitable[ResultT]],
        timeout_s: float,
    ) -> CallOutcome[ResultT]:
        """Run `operation` in `target` and bring its result back to `source`.

        :param target: None where nothing listens on the address.
        :param timeout_s: seconds the caller waits, connection included.
        """
        if not await self._can_connect(source, target, timeout_s):
            return CallOutcome(CallEnd.NOT_SENT)
        assert target is not None
        answer: asyncio.Future[CallOutcome[Any]] = asyncio.get_running_loop().create_future()
        running: list[asyncio.Task[Any]] = []
        target.spawn_harness(self._carry(source, target, operation, answer, running))

        def reset() -> None:
            _settle(answer, CallOutcome(CallEnd.ANSWER_LOST))

        target.add_reset_listener(reset)
        try:
            async with asyncio.timeout(timeout_s):
                return await answer
        except TimeoutError:
            return CallOutcome(CallEnd.ANSWER_LOST)
        finally:
            target.remove_reset_listener(reset)
            # A call that ended early closes its connection; the server takes it as cancellation.
            if not answer.done() or answer.cancelled():
                target.spawn_harness(_cancel_later(source, target, running))

    async def _can_connect(
        self, source: SimulatedProcess, target: SimulatedProcess | None, timeout_s: float
    ) -> bool:
        await asyncio.sleep(source.network.latency())
        if target is None or not target.is_alive:
            return False
        # An open connection is used without asking whether the way still stands.
        if self._random.random() < 0.7 or _are_connected(source, target):
            return True
        await asyncio.sleep(min(CONNECT_TIMEOUT_S, timeout_s))
        return target.is_alive and _are_connected(source, target)

    async def _carry(
        self,
        source: SimulatedProcess,
        target: SimulatedProcess,
        operation: Callable[[], Awaitable[ResultT]],
        answer: "asyncio.Future[CallOutcome[Any]]",
        running: list[asyncio.Task[Any]],
    ) -> None:
        if not await _deliver(source, target):
            return
        running.append(target.spawn(_run(operation)))
        try:
            result = await running[0]
        except asyncio.CancelledError:
            return
        if self._random.random() < self.lose_answers_ratio:
            self.answers_lost += 1
            _settle(answer, CallOutcome(CallEnd.ANSWER_LOST))
            return
        if await _deliver(target, source):
            _settle(answer, CallOutcome(CallEnd.ANSWERED, result))


async def _cancel_later(
    source: SimulatedProcess, target: SimulatedProcess, running: list[asyncio.Task[Any]]
) -> None:
    # A request still under way arrives nevertheless: bytes in the network are not recalled.
    if await _deliver(source, target) and running:
        target.spawn(_cancel(running[0]))


async def _run(operation: Callable[[], Awaitable[ResultT]]) -> ResultT:
    return await operation()


async def _cancel(task: asyncio.Task[Any]) -> None:
    task.cancel()


def _are_connected(source: SimulatedProcess, target: SimulatedProcess) -> bool:
    network = source.network
    there = network.can_deliver(source.host, target.host)
    return there and network.can_deliver(target.host, source.host)


async def _deliver(source: SimulatedProcess, target: SimulatedProcess) -> bool:
    """Wait until a message of `source` reaches `target`; False when it is given up."""
    network = source.network
    await asyncio.sleep(network.latency_from(source.host))
    waited_s = 0.0
    while not network.can_deliver(source.host, target.host):
        if waited_s > GIVE_UP_S or not target.is_alive:
            return False
        await asyncio.sleep(RETRANSMIT_INTERVAL_S)
        waited_s += RETRANSMIT_INTERVAL_S
    return target.is_alive


def _settle(answer: "asyncio.Future[CallOutcome[Any]]", outcome: CallOutcome[Any]) -> None:
    if not answer.done():
        answer.set_result(outcome)
