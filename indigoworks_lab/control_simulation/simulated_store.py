"""The store as its callers reach it."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random
from typing import Generic, TypeVar

from result import Ok

from indigoworks_lab.control_simulation.links import Links
from indigoworks_lab.control_simulation.memory_rows import MemoryRows, RowState
from indigoworks_lab.control_simulation.store_faults import StoreFaults, StoreState
from indigoworks_lab.control_simulation.traffic_counter import (
    STORE_READ,
    STORE_WRITE,
    TrafficCounter,
)

STORE = "store"
"""Name of the store among the machines."""

LATE_WRITE_S = (1.0, 6.0)
AFTER_RETURN_S = (0.1, 0.35)
"""A write that was held back is made so long after the store came back from a copy."""

STORE_TIME_OFFSET_S = 7000.0
REFUSAL_S = 0.3
POLL_S = 0.05

ResultT = TypeVar("ResultT")


@dataclass(frozen=True, slots=True)
class StoreAnswer(Generic[ResultT]):
    """An answer; `result` is None where the store refused to work.

    :ivar store_time_s: reading of the store's steady clock.
    :ivar made_s: true time at which it was made.
    :ivar era: how often the store had come back from a copy by then.
    """

    result: ResultT | None
    store_time_s: float
    made_s: float
    era: int


class SimulatedStore:
    """Carries calls to the rows and answers back, with the faults that act."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        links: Links,
        random: Random,
        traffic: TrafficCounter,
    ) -> None:
        self._traffic = traffic
        self.rows = MemoryRows()
        self.faults = StoreFaults()
        self._loop = loop
        self._links = links
        self._random = random

    def is_reachable(self, source: str) -> bool:
        """Tell whether a call would be answered now."""
        return self.faults.state is StoreState.UP and not self._links.is_cut(source, STORE)

    async def carry(
        self,
        source: str,
        operation: Callable[[], Awaitable[ResultT]],
        is_write: bool,
        answer: "asyncio.Future[StoreAnswer[ResultT]]",
    ) -> None:
        """Run one call; sets `answer` unless it is lost. Runs outside of the calling process."""
        await asyncio.sleep(self._delay_s(source))
        if not await self._passes(source, answer):
            return
        if is_write and self.faults.is_holding_writes:
            await self._make_after_return(operation)
            return
        if is_write and self._random.random() < self.faults.late_ratio:
            await asyncio.sleep(self._random.uniform(*LATE_WRITE_S))
            await operation()
            return
        era = self.rows.era
        result = await operation()
        if self.rows.era != era:
            # The connection broke when the store went away.
            return
        self._traffic.add(STORE_WRITE if is_write else STORE_READ, source, _size_bytes(result))
        now_s = self._loop.time()
        store_time_s = now_s + STORE_TIME_OFFSET_S + self.faults.clock_jump_s
        made = StoreAnswer(result, store_time_s, now_s, era)
        is_lost = self._random.random() < self.faults.lost_ratio
        await asyncio.sleep(self._delay_s(source))
        if not is_lost and await self._passes(source, answer):
            _settle(answer, made)

    async def _make_after_return(self, operation: Callable[[], Awaitable[ResultT]]) -> None:
        era = self.rows.era
        while self.rows.era == era:  # noqa: ASYNC110
            await asyncio.sleep(POLL_S)
        await asyncio.sleep(self._random.uniform(*AFTER_RETURN_S))
        await operation()

    async def _passes(self, source: str, answer: "asyncio.Future[StoreAnswer[ResultT]]") -> bool:
        """Wait while a cut or a silent store holds a message back; False: it never arrives.

        What the caller gives up meanwhile is dropped. A store that refuses says so at once.
        """
        while not self.is_reachable(source):
            if answer.done():
                return False
            if self.faults.state is StoreState.REFUSING:
                await asyncio.sleep(self._random.uniform(0.0, REFUSAL_S))
                _settle(answer, StoreAnswer(None, 0.0, self._loop.time(), self.rows.era))
                return False
            await asyncio.sleep(POLL_S)
        return True

    def _delay_s(self, source: str) -> float:
        slow_s = self._random.uniform(0.0, self.faults.slow_s)
        return slow_s + self._links.latency_s(source, STORE)


def _size_bytes(result: object) -> int:
    """Return the bytes of the rows' values in an answer."""
    state = result.unwrap() if isinstance(result, Ok) else None
    return sum(len(row.value) for row in state.rows) if isinstance(state, RowState) else 0


def _settle(answer: "asyncio.Future[StoreAnswer[ResultT]]", value: StoreAnswer[ResultT]) -> None:
    if not answer.done():
        answer.set_result(value)
