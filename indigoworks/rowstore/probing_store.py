"""Row store that is probed one call at a time while it does not respond."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from result import Result

from indigoworks.common.clock import Clock
from indigoworks.rowstore.errors import ConditionFailed, EraEnded, HistoryGone, StoreError
from indigoworks.rowstore.row_store import RowStore
from indigoworks.rowstore.rows import Rows
from indigoworks.rowstore.store_version import StoreVersion
from indigoworks.rowstore.table_part import TablePart
from indigoworks.rowstore.transaction import Transaction

PROBE_WAIT_S = 0.3
"""Longest wait of a feed call that probes whether the store responds again."""

FIRST_DELAY_S = 0.1
"""Delay before the first call after a failed one; it doubles with each failure."""

PROBE_EXCLUSIVE_S = 1.5
"""Time for which a probe blocks the other readers; a longer one continues beside the next. A lost
store is detected within 1.3 s (PROBE_WAIT_S, and 1 s until the headers of a response), so a longer
probe is receiving a response, perhaps a large one over a slow link."""

PROBES_PER_S = 40.0
"""Calls a second from all gateways together to a store that refuses all of them: 2 % of what the
stores of present deployments handle at least (2,000 reads a second)."""

MAX_DELAY_S = 1.5
"""Longest delay, whatever the number of gateways: the store's return is detected that much later. A
new configuration must be in force 2 s after the store has responded reliably for 3 s."""

MIN_DELAY_SHARE = 0.5
"""A delay is randomized between this share of its length and the whole, so that gateways which the
store refused at the same moment do not retry at the same moment."""


class ProbingStore:
    """Implements `RowStore`: while the store does not respond, reads are sent one at a time.

    A process follows several tables and reads them again when it doubts a feed. If the store
    refuses the process, each of these calls fails and costs the store a refusal. So one reader
    probes the store, with growing delays; the others wait, and all proceed once a probe got a
    response. While a large response is being received, the next reader probes. Transactions are
    always sent at once.

    Otherwise each gateway would repeat its three feeds and their full reads 0.1 to 0.4 s after each
    failure: 480 failed calls of 27 gateways that are refused for 9 s.

    :param gateway_count: returns how many gateways share the store.
    :param is_shared: returns whether there are so many gateways that calls must be limited;
        otherwise every call is sent at once.
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

    async def read(self, table: str, part: TablePart) -> Result[Rows, StoreError]:
        """Read all rows of one part of a table."""
        return await self._paced(lambda _: self._store.read(table, part))

    async def follow(
        self, table: str, after: StoreVersion, wait_s: float
    ) -> Result[Rows, StoreError]:
        """Wait for changed rows of a table; a probe waits for PROBE_WAIT_S at most."""
        return await self._paced(
            lambda longest_s: self._store.follow(table, after, min(wait_s, longest_s))
        )

    async def commit(self, transaction: Transaction) -> Result[StoreVersion, StoreError]:
        """Commit a transaction."""
        return await self._store.commit(transaction)

    async def _paced(
        self, call: Callable[[float], Awaitable[Result[Rows, StoreError]]]
    ) -> Result[Rows, StoreError]:
        if self._failures and self._is_shared():
            probe = await self._probe_exclusively(call)
            if probe is not None:
                return await probe
        return self._record_result(await call(float("inf")))

    async def _probe_exclusively(
        self, call: Callable[[float], Awaitable[Result[Rows, StoreError]]]
    ) -> asyncio.Task[Result[Rows, StoreError]] | None:
        """Return a probe that has ended or run for PROBE_EXCLUSIVE_S; None: the store responds."""
        async with self._probing:
            # An earlier probe may have got a response meanwhile.
            if not self._failures:
                return None
            await self._clock.sleep(self._delay_s())
            probe = asyncio.create_task(self._probe(call))
            exclusive_wait = asyncio.create_task(self._clock.sleep(PROBE_EXCLUSIVE_S))
            try:
                await asyncio.wait({probe, exclusive_wait}, return_when=asyncio.FIRST_COMPLETED)
            except asyncio.CancelledError:
                probe.cancel()
                raise
            finally:
                exclusive_wait.cancel()
            return probe

    async def _probe(
        self, call: Callable[[float], Awaitable[Result[Rows, StoreError]]]
    ) -> Result[Rows, StoreError]:
        return self._record_result(await call(PROBE_WAIT_S))

    def _record_result(self, result: Result[Rows, StoreError]) -> Result[Rows, StoreError]:
        has_response = result.is_ok() or isinstance(
            result.unwrap_err(), (HistoryGone, ConditionFailed, EraEnded)
        )
        self._failures = 0 if has_response else self._failures + 1
        return result

    def _delay_s(self) -> float:
        longest_s = min(MAX_DELAY_S, self._gateway_count() / PROBES_PER_S)
        delay_s = min(FIRST_DELAY_S * 2.0 ** (self._failures - 1), longest_s)
        return self._random.uniform(MIN_DELAY_SHARE, 1.0) * delay_s
