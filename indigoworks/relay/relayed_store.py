"""Row store whose tables are followed through a relay, if there is one."""

from collections.abc import Collection
from dataclasses import replace
from urllib.parse import urlencode

from result import Err, Ok, Result

from indigoworks.backend.http_message import HttpMessage
from indigoworks.backend.http_sender import HttpSender
from indigoworks.common.clock import Clock
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.relay.feed_history import FeedHistory
from indigoworks.relay.feed_response import FeedResponse
from indigoworks.relay.feed_response_codec import decode_feed_response
from indigoworks.relay.relay_client import RelayClient
from indigoworks.relay.relay_log import log_relay_failed, log_relay_used
from indigoworks.relay.relay_selector import RelaySelector
from indigoworks.rowstore.errors import HistoryGone, StoreError
from indigoworks.rowstore.row_store import RowStore
from indigoworks.rowstore.rows import Rows
from indigoworks.rowstore.store_health import StoreHealth
from indigoworks.rowstore.store_version import StoreVersion
from indigoworks.rowstore.table_part import TablePart
from indigoworks.rowstore.transaction import Transaction

FEED_PATH = "/feed"

MAX_PROOF_AGE_S = 1.2
"""A relay whose newest response of the store is older is not used: its rows may be out of date, and
the requester may well reach the store itself."""

RESPONSE_MARGIN_S = 0.3
"""Longest wait for the headers of a relay's response beyond the requested wait."""

LARGE_RESPONSE_MARGIN_S = 1.0
"""The margin for tables of large rows, as long as for the store itself. On a slow link that is full
of requests, packets queue for 0.3 s and more. With the shorter margin the relay would count as
failed, and the store's response would fill the link for seconds: with 0.35 s of queued packets a
configuration is then in force after up to 6.81 s, with this margin after up to 1.38 s."""

MAX_RELAY_ATTEMPTS = 3
"""Relays tried in turn before the store. If the store refuses a third of all gateways at the same
moment, one of three relays responds in 96 % of the cases."""

PACE_PER_GATEWAY_S = 0.005
"""Delay of the next feed call after rows arrived, for each known gateway. A burst of changes then
costs all gateways together about 200 calls a second, however many there are."""

MAX_PACE_S = 0.3
RELAY_PACE_S = 0.05
"""The delay at a relay, which follows the feed for many gateways."""

FIRST_RELAY_POLL_S = 0.05
"""Interval between looks for a relay right after the start of the process."""

UNAVAILABLE_STATUS = 503
"""Status of a gateway that is no relay, as it reads through another one itself."""

MS_PER_S = 1000.0


class RelayedStore:
    """Implements `RowStore`; writes, and full reads of tables of small rows, go to the store.

    Rows from a relay are as recent as the relay's own newest response: the rows, the version to
    follow from and the time up to which they are certainly the newest come from it.

    :param store: the store itself.
    :param sender: sends the requests to relays.
    :param relayed_tables: tables that are followed through relays; others only at the store.
    :param large_tables: tables of few large rows, whose full reads go through relays as well. A
        configuration of 2,533 routes is 0.58 MB as the store sends it, on each gateway's own link,
        and 0.05 MB as a relay does. On 5 Mbit/s links of which requests use 0.27 MB/s, changes that
        come every 1.73 s would be in force only after up to 3.65 s if each of 18 gateways read the
        store, and are after up to 0.83 s through a relay; the limit is 2.5 s.
    """

    def __init__(
        self,
        store: RowStore,
        health: StoreHealth,
        selector: RelaySelector,
        sender: HttpSender,
        relayed_tables: frozenset[str],
        clock: Clock,
        large_tables: frozenset[str] = frozenset(),
    ) -> None:
        self._store = store
        self._health = health
        self._selector = selector
        self._client = RelayClient(sender)
        self._relayed_tables = relayed_tables
        self._large_tables = large_tables
        self._clock = clock
        self._histories: dict[str, FeedHistory] = {}
        self._rows_received_s: dict[str, float] = {}
        self._used_node = ""

    # ---- the port ----

    async def read(self, table: str, part: TablePart) -> Result[Rows, StoreError]:
        """Read all rows of one part of a table; of a table of large rows at a relay, if any."""
        if table in self._large_tables:
            rows = await self._read_at_relay(table)
            if rows is not None:
                self._keep(table, rows)
                return Ok(rows)
        result = await self._store.read(table, part)
        if isinstance(result, Ok):
            self._keep(table, replace(result.unwrap(), is_whole=True))
        return result

    async def follow(
        self, table: str, after: StoreVersion, wait_s: float
    ) -> Result[Rows, StoreError]:
        """Wait for changed rows, at a relay or at the store."""
        if after.era != self._health.eras.current:
            reason = "The store was restored from a copy since."
            return Err(HistoryGone(reason, "Read the table whole."))
        if self._is_kept(table):
            while self._selector.awaits_first_relay():
                await self._clock.sleep(FIRST_RELAY_POLL_S)
            rows = await self._follow_relays(table, after, wait_s)
            if rows is not None:
                self._keep(table, rows)
                return Ok(rows)
        return await self._follow_store(table, after, wait_s)

    async def commit(self, transaction: Transaction) -> Result[StoreVersion, StoreError]:
        """Commit a transaction at the store."""
        return await self._store.commit(transaction)

    # ---- for the feed server of this process ----

    def history(self, table: str) -> FeedHistory:
        """Return the recent changes of a table; empty for a table that no relay serves."""
        return self._histories.setdefault(table, FeedHistory())

    def reads_store_directly(self) -> bool:
        """Return whether this process uses no relay: only then others may use it as one."""
        return self._selector.relay() is None

    def wake_waiters(self) -> None:
        """Wake all requests that wait for changes, so that they check again."""
        for history in self._histories.values():
            history.wake()

    # ---- parts ----

    def _is_kept(self, table: str) -> bool:
        return table in self._relayed_tables or table in self._large_tables

    def _keep(self, table: str, rows: Rows) -> None:
        """Add received rows to the history that is served to other gateways.

        Also before any other gateway is known: a history that starts later would lack the rows
        before.
        """
        if not self._is_kept(table):
            return
        if rows.is_whole:
            all_rows = rows.rows if table in self._large_tables else None
            self.history(table).restart(rows.version, all_rows)
        else:
            self.history(table).add(rows.rows, rows.version)

    async def _read_at_relay(self, table: str) -> Rows | None:
        """Return all rows of a table from a relay; None: read the store directly.

        Rows older than those that this process has already followed are not used.
        """
        nothing = StoreVersion(self._health.eras.current, 0)
        rows = await self._follow_relays(table, nothing, 0.0)
        if rows is None or not rows.is_whole or rows.version < self.history(table).version:
            return None
        return rows

    async def _follow_store(
        self, table: str, after: StoreVersion, wait_s: float
    ) -> Result[Rows, StoreError]:
        if table in self._relayed_tables:
            self._log_if_changed("")
        await self._pace(table)
        result = await self._store.follow(table, after, wait_s)
        if isinstance(result, Ok):
            response = result.unwrap()
            if response.rows:
                self._rows_received_s[table] = self._clock.now()
            self._keep(table, response)
        return result

    async def _pace(self, table: str) -> None:
        pace_s = RELAY_PACE_S
        if not self._selector.is_acting():
            pace_s = min(PACE_PER_GATEWAY_S * self._selector.gateway_count(), MAX_PACE_S)
        left_s = self._rows_received_s.get(table, float("-inf")) + pace_s - self._clock.now()
        if left_s > 0:
            await self._clock.sleep(left_s)

    async def _follow_relays(self, table: str, after: StoreVersion, wait_s: float) -> Rows | None:
        """Return rows from a relay; None: no relay is usable now.

        The next relay is tried at once after one failed. Otherwise each failure would cost a call
        to the store, and the more relays the store refuses, the more such calls there would be.
        """
        asked: set[str] = set()
        while len(asked) < MAX_RELAY_ATTEMPTS:
            relay = self._relay_for(table, asked)
            if relay is None or relay.node in asked:
                return None
            asked.add(relay.node)
            rows = await self._follow_relay(relay, table, after, wait_s)
            if rows is not None:
                return rows
        return None

    def _relay_for(self, table: str, asked: Collection[str]) -> PeerAddress | None:
        if table in self._large_tables:
            return self._selector.relay_for_large_rows(asked)
        return self._selector.relay()

    async def _follow_relay(
        self, relay: PeerAddress, table: str, after: StoreVersion, wait_s: float
    ) -> Rows | None:
        """Return rows from this relay; None: it is not usable now."""
        query = {
            "table": table,
            "era": after.era,
            "after": after.counter,
            "wait_ms": int(wait_s * MS_PER_S),
        }
        message = HttpMessage("GET", f"{FEED_PATH}?{urlencode(query)}")
        sent_s = self._clock.now()
        is_large = table in self._large_tables
        margin_s = LARGE_RESPONSE_MARGIN_S if is_large else RESPONSE_MARGIN_S
        grace_s = LARGE_RESPONSE_MARGIN_S if is_large and self._selector.has_slow_link() else 0.0
        # Whole rows are read when the feed is in doubt, and with it every open connection.
        result = await self._client.send(
            relay, lambda: message, wait_s + margin_s, grace_s, needs_new=after.counter == 0
        )
        if isinstance(result, Err):
            self._record_failure(relay, result.unwrap_err().kind)
            return None
        if result.unwrap().status == UNAVAILABLE_STATUS:
            self._selector.record_unavailable(relay.node)
            log_relay_failed(relay.node, "asks_another", 0.0)
            return None
        response = (
            decode_feed_response(result.unwrap().body) if result.unwrap().status == 200 else None
        )
        if response is None:
            self._record_failure(relay, f"status_{result.unwrap().status}")
            return None
        if response.proof_age_s > MAX_PROOF_AGE_S:
            self._record_failure(relay, "stale", response.proof_age_s)
            return None
        self._health.eras.record_era(response.version.era, relay.node)
        if response.is_gone or response.version.era < self._health.eras.current:
            return None
        if not is_large:
            self._log_if_changed(relay.node)
        return self._to_rows(response, sent_s, result.unwrap().headers_s)

    def _to_rows(self, response: FeedResponse, sent_s: float, headers_s: float) -> Rows:
        # The relay computed the ages before it sent the headers; the last byte may come much later.
        if not self._selector.is_leading():
            proof_s = headers_s - response.proof_age_s
            self._health.record_relayed(proof_s, headers_s - response.trouble_age_s)
        # The relay may have responded right after the request was sent: no later moment is certain.
        as_of_s = sent_s - response.proof_age_s
        return Rows(response.rows, response.version, as_of_s, response.is_whole)

    def _record_failure(self, relay: PeerAddress, reason: str, proof_age_s: float = 0.0) -> None:
        self._selector.record_failure(relay.node)
        self._client.fail_pending(relay.node)
        log_relay_failed(relay.node, reason, proof_age_s)

    def _log_if_changed(self, node: str) -> None:
        if node != self._used_node:
            self._used_node = node
            log_relay_used(node)
