"""One call at a time to a row store that leaves this process without answers."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from result import Result

from indigoworks.common.clock import Clock
from indigoworks.rowstore.errors import ConditionFailed, EraEnded, HistoryGone, StoreError
from indigoworks.rowstore.row_store import RowStore
from indigoworks.rowstore.rows import Rows
from indigoworks.rowstore.store_version import StoreVersion
from indigoworks.rowstore.transaction import Transaction

PROBE_WAIT_S = 0.3
"""Longest wait of a step of a feed that finds out whether the store answers again."""

FIRST_PAUSE_S = 0.1
"""Pause before the first call after one that failed; it doubles with each that fails."""

PROBE_TURN_S = 1.5
"""A probe that takes longer no longer keeps the other readers waiting, and ends by itself: a store
that is lost is noticed by 1.3 s (PROBE_WAIT_S, and 1 s until the headers of an answer), so what is
under way then is an answer that comes, perhaps a large one over a slow link."""

PROBES_PER_S = 40.0
"""Calls a second that all gateways together make to a store that turns all of them away: 2 % of
what the stores of today's deployments answer at least (2,000 reads a second)."""

MAX_PAUSE_S = 1.5
"""Longest pause, however many gateways there are: the store is noticed again so much later. A new
configuration must be in force 2 s after the store has answered steadily for 3 s."""

MIN_PAUSE_SHARE = 0.5
"""A pause is drawn between this share of its length and the whole, so that gateways which the store
turned away at the same moment do not come back together. An estimate, not measured."""


class ProbingStore:
    """Implements `RowStore`: while the store does not answer, its readers go one by one.

    A process follows several tables and reads them anew when it doubts a feed. Where the store
    turns it away each of these calls fails, and each failing is a call that the store has to
    refuse. So one caller asks, with growing pauses; the others wait for what it finds out, and all
    go on as soon as one was answered. While a large answer is long on its way the next one asks.
    Transactions always go out at once.

    With 27 of 78 gateways turned away for 9 s their failed calls were 480 without this, counted by
    a log line for each call in one run: three feeds and their whole readings, each again 0.1 to
    0.4 s after the last had failed.

    :param gateway_count: returns how many gateways share the store.
    :param is_shared: tells whether they are so many that calls are to be spared; where not, every
        call goes out at once.
    """

    def __init__(
        self,
        store: RowStore,
        gateway_count: Callable[[], int],
        is_shared: Callable[[], bool],
        random: Random,
        clock: Clock,
    ) -> None:
        self._store = store
        self._gateway_count = gateway_count
        self._is_shared = is_shared
        self._random = random
        self._clock = clock
        self._failures = 0
        self._probing = asyncio.Lock()

    async def read(self, table: str, part: str) -> Result[Rows, StoreError]:
        """Read one part of a table whole."""
        return await self._paced(lambda _: self._store.read(table, part))

    async def follow(
        self, table: str, after: StoreVersion, wait_s: float
    ) -> Result[Rows, StoreError]:
        """Wait for changed rows of a table; a probe waits for PROBE_WAIT_S at most."""
        return await self._paced(
            lambda longest_s: self._store.follow(table, after, min(wait_s, longest_s))
        )

    async def commit(self, transaction: Transaction) -> Result[StoreVersion, StoreError]:
        """Make a transaction."""
        return await self._store.commit(transaction)

    async def _paced(
        self, call: Callable[[float], Awaitable[Result[Rows, StoreError]]]
    ) -> Result[Rows, StoreError]:
        if self._failures and self._is_shared():
            probe = await self._probe_in_turn(call)
            if probe is not None:
                return await probe
        return self._note(await call(float("inf")))

    async def _probe_in_turn(
        self, call: Callable[[float], Awaitable[Result[Rows, StoreError]]]
    ) -> asyncio.Task[Result[Rows, StoreError]] | None:
        """Return a probe that has ended or used up its turn; None: the store was found back."""
        async with self._probing:
            # Whoever probed before may have found the store back.
            if not self._failures:
                return None
            await self._clock.sleep(self._pause_s())
            probe = asyncio.create_task(self._probe(call))
            turn = asyncio.create_task(self._clock.sleep(PROBE_TURN_S))
            try:
                await asyncio.wait({probe, turn}, return_when=asyncio.FIRST_COMPLETED)
            except asyncio.CancelledError:
                probe.cancel()
                raise
            finally:
                turn.cancel()
            return probe

    async def _probe(
        self, call: Callable[[float], Awaitable[Result[Rows, StoreError]]]
    ) -> Result[Rows, StoreError]:
        return self._note(await call(PROBE_WAIT_S))

    def _note(self, result: Result[Rows, StoreError]) -> Result[Rows, StoreError]:
        is_answered = result.is_ok() or isinstance(
            result.unwrap_err(), (HistoryGone, ConditionFailed, EraEnded)
        )
        self._failures = 0 if is_answered else self._failures + 1
        return result

    def _pause_s(self) -> float:
        longest_s = min(MAX_PAUSE_S, self._gateway_count() / PROBES_PER_S)
        pause_s = min(FIRST_PAUSE_S * 2.0 ** (self._failures - 1), longest_s)
        return self._random.uniform(MIN_PAUSE_SHARE, 1.0) * pause_s
