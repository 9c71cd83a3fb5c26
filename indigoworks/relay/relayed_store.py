"""The row store, followed through a relay where there is one."""

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
from indigoworks.rowstore.transaction import Transaction

FEED_PATH = "/feed"

MAX_PROOF_AGE_S = 1.2
"""A relay whose newest answer of the store is older is not relied upon: what it says may be out of
date, and the asker may well reach the store."""

ANSWER_MARGIN_S = 0.3
"""Longest wait for the headers of a relay's answer beyond the time it was asked to wait."""

LARGE_ANSWER_MARGIN_S = 1.0
"""The same for tables of large rows, as long as the store is waited for: where requests fill a slow
link, packets queue there for 0.3 s and more, and the store's answer would fill it for seconds. In a
simulated zone whose slow links have 0.35 s of packets waiting, versions were in force after 3.35 to
6.81 s with the shorter one and 0.81 to 1.38 s with this one."""

MAX_RELAYS_ASKED = 3
"""Relays asked one after the other before the store: computed, where a third of all gateways are
turned away at the same moment, one of three answers 96 times of 100."""

PACE_PER_GATEWAY_S = 0.005
"""After rows have come, the feed is asked again only so much later for each known gateway: a burst
of changes then costs all of them together about 200 calls a second, however many they are."""

MAX_PACE_S = 0.3
RELAY_PACE_S = 0.05
"""Pace of a relay, which asks for many."""

UNAVAILABLE_STATUS = 503
"""Status by which a gateway says that it asks another one itself."""

MS_PER_S = 1000.0


class RelayedStore:
    """Implements `RowStore`; writes, and reads of tables of small rows, always go to the store.

    What is followed through a relay is as true as the relay's own newest answer: the rows, the
    version to go on from and the moment up to which they are certainly the newest come from it.

    :param store: the store itself.
    :param sender: for questions to relays.
    :param relayed_tables: tables that are followed through relays; the others always at the store.
    :param large_tables: tables of few large rows, which are read whole through relays as well. A
        configuration of 2,533 routes is 0.58 MB as the store sends it, on each gateway's own link,
        and 0.05 MB as a relay does. On links of 5 Mbit/s of which requests take 0.27 MB/s, changes
        that come one each 1.73 s are in force after up to 3.65 s without this and 0.83 s with it
        (simulated zone of 18 gateways); they have to be after 2.5 s.
    """

    def __init__(
        self,
        store: RowStore,
        health: StoreHealth,
        choice: RelaySelector,
        sender: HttpSender,
        relayed_tables: frozenset[str],
        clock: Clock,
        large_tables: frozenset[str] = frozenset(),
    ) -> None:
        self._store = store
        self._health = health
        self._choice = choice
        self._questions = RelayClient(sender)
        self._relayed_tables = relayed_tables
        self._large_tables = large_tables
        self._clock = clock
        self._histories: dict[str, FeedHistory] = {}
        self._rows_came_s: dict[str, float] = {}
        self._used_node = ""

    # ---- the port ----

    async def read(self, table: str, part: str) -> Result[Rows, StoreError]:
        """Read one part of a table whole; of a table of large rows at a relay, if there is one."""
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
            reason = "The store has come back from a copy since."
            return Err(HistoryGone(reason, "Read the table whole."))
        if self._is_kept(table):
            rows = await self._follow_relays(table, after, wait_s)
            if rows is not None:
                self._keep(table, rows)
                return Ok(rows)
        return await self._follow_store(table, after, wait_s)

    async def commit(self, transaction: Transaction) -> Result[StoreVersion, StoreError]:
        """Make a transaction."""
        return await self._store.commit(transaction)

    # ---- for the relay's own server ----

    def history(self, table: str) -> FeedHistory:
        """Return what was followed of a table; nothing of one that no relay hands on."""
        return self._histories.setdefault(table, FeedHistory())

    def reads_store_directly(self) -> bool:
        """Tell whether this process asks the store itself: only then others may ask it."""
        return self._choice.relay() is None

    def wake_waiters(self) -> None:
        """Let everyone who waits for changes look again."""
        for history in self._histories.values():
            history.wake()

    # ---- parts ----

    def _is_kept(self, table: str) -> bool:
        return table in self._relayed_tables or table in self._large_tables

    def _keep(self, table: str, rows: Rows) -> None:
        """Keep what has come for those who ask this process.

        Also before any other gateway is known: a history that began later would not know what it
        has missed.
        """
        if not self._is_kept(table):
            return
        if rows.is_whole:
            all_rows = rows.rows if table in self._large_tables else None
            self.history(table).restart(rows.version, all_rows)
        else:
            self.history(table).add(rows.rows, rows.version)

    async def _read_at_relay(self, table: str) -> Rows | None:
        """Return all rows as a relay knows them; None: ask the store.

        What this process has followed already is never replaced by something older.
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
            self._note_used("")
        await self._pace(table)
        result = await self._store.follow(table, after, wait_s)
        if isinstance(result, Ok):
            answer = result.unwrap()
            if answer.rows:
                self._rows_came_s[table] = self._clock.now()
            self._keep(table, answer)
        return result

    async def _pace(self, table: str) -> None:
        pace_s = RELAY_PACE_S
        if not self._choice.is_acting():
            pace_s = min(PACE_PER_GATEWAY_S * self._choice.gateway_count(), MAX_PACE_S)
        left_s = self._rows_came_s.get(table, float("-inf")) + pace_s - self._clock.now()
        if left_s > 0:
            await self._clock.sleep(left_s)

    async def _follow_relays(self, table: str, after: StoreVersion, wait_s: float) -> Rows | None:
        """Return what a relay knows; None: there is none that can be relied upon now.

        The next one is asked as soon as one has failed: else each failure would cost a call to the
        store, of which there are the more the more relays it turns away.
        """
        asked: set[str] = set()
        while len(asked) < MAX_RELAYS_ASKED:
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
            return self._choice.relay_for_large_rows(asked)
        return self._choice.relay()

    async def _follow_relay(
        self, relay: PeerAddress, table: str, after: StoreVersion, wait_s: float
    ) -> Rows | None:
        """Return what the relay knows; None: it cannot be relied upon now."""
        query = {
            "table": table,
            "era": after.era,
            "after": after.counter,
            "wait_ms": int(wait_s * MS_PER_S),
        }
        message = HttpMessage("GET", f"{FEED_PATH}?{urlencode(query)}")
        sent_s = self._clock.now()
        is_large = table in self._large_tables
        margin_s = LARGE_ANSWER_MARGIN_S if is_large else ANSWER_MARGIN_S
        grace_s = LARGE_ANSWER_MARGIN_S if is_large and self._choice.has_slow_link() else 0.0
        result = await self._questions.send(relay, lambda: message, wait_s + margin_s, grace_s)
        if isinstance(result, Err):
            self._failed(relay, result.unwrap_err().kind)
            return None
        if result.unwrap().status == UNAVAILABLE_STATUS:
            self._choice.record_unavailable(relay.node)
            log_relay_failed(relay.node, "asks_another", 0.0)
            return None
        answer = (
            decode_feed_response(result.unwrap().body) if result.unwrap().status == 200 else None
        )
        if answer is None:
            self._failed(relay, f"status_{result.unwrap().status}")
            return None
        if answer.proof_age_s > MAX_PROOF_AGE_S:
            self._failed(relay, "stale", answer.proof_age_s)
            return None
        self._health.eras.record_era(answer.version.era, relay.node)
        if answer.is_gone or answer.version.era < self._health.eras.current:
            return None
        if not is_large:
            self._note_used(relay.node)
        return self._rows(answer, sent_s, result.unwrap().headers_s)

    def _rows(self, answer: FeedResponse, sent_s: float, headers_s: float) -> Rows:
        # The relay gave the ages before the headers came; the last byte may come much later.
        if not self._choice.is_leading():
            proof_s = headers_s - answer.proof_age_s
            self._health.record_relayed(proof_s, headers_s - answer.trouble_age_s)
        # The relay may have answered right after it was asked: no later moment is certain.
        true_at_s = sent_s - answer.proof_age_s
        return Rows(answer.rows, answer.version, true_at_s, answer.is_whole)

    def _failed(self, relay: PeerAddress, reason: str, proof_age_s: float = 0.0) -> None:
        self._choice.record_failure(relay.node)
        self._questions.fail_pending(relay.node)
        log_relay_failed(relay.node, reason, proof_age_s)

    def _note_used(self, node: str) -> None:
        if node != self._used_node:
            self._used_node = node
            log_relay_used(node)
