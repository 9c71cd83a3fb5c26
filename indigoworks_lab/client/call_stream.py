"""A steady stream of calls, kept up while something is done to the deployment."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from types import TracebackType
from typing import Self

from indigoworks_lab.client.call_answer import CallAnswer

WORKERS = 6
PAUSE_S = 0.01

Call = Callable[[int], Awaitable[CallAnswer]]


class CallStream:
    """Calls from several workers, from entering the context until leaving it.

    Leaving waits for the calls in progress, so that every call has its answer in `answers`.

    :param call: makes the call with the given number.
    """

    def __init__(self, call: Call) -> None:
        self._call = call
        self._next_number = 0
        self._is_ending = False
        self._workers: list[asyncio.Task[None]] = []
        self.answers: list[CallAnswer] = []

    async def __aenter__(self) -> Self:
        self._workers = [asyncio.create_task(self._work()) for _ in range(WORKERS)]
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._is_ending = True
        await asyncio.gather(*self._workers)

    def outcomes(self) -> Counter[str]:
        """Return the number of answers by outcome."""
        return Counter(answer.outcome for answer in self.answers)

    def outcome_text(self) -> str:
        """Return the numbers of answers by outcome as a text."""
        counts = sorted(self.outcomes().items())
        return ", ".join(f"{count} {outcome}" for outcome, count in counts)

    async def _work(self) -> None:
        while not self._is_ending:
            number = self._next_number
            self._next_number += 1
            self.answers.append(await self._call(number))
            await asyncio.sleep(PAUSE_S)
