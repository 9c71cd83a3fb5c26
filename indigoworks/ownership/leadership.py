"""Who leads a control group, and whether this process may act as its leader."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import replace

from result import Ok, Result

from indigoworks.common.clock import Clock
from indigoworks.common.event_wait import wait_for_event
from indigoworks.exchange.peer_directory import PeerDirectory
from indigoworks.exchange.peer_view import PeerView
from indigoworks.exchange.process_id import ProcessId
from indigoworks.ownership import leader_log
from indigoworks.ownership.challenge_delay import ChallengeDelay
from indigoworks.ownership.challenge_reasons import GIVEN_UP, ChallengeReasons
from indigoworks.ownership.control_group import CONTROL_TABLE, ControlGroup
from indigoworks.ownership.era_numbers import first_number
from indigoworks.ownership.former_era import NO_FORMER_ERA, FormerEra
from indigoworks.ownership.hold_bounds import HoldBounds
from indigoworks.ownership.hold_policy import HOLD_S
from indigoworks.ownership.leader_lease import LEADER_LEASE_S
from indigoworks.ownership.leader_liveness import LeaderLiveness
from indigoworks.ownership.leader_resignation import LeaderResignation
from indigoworks.ownership.leader_row import LEADER_KEY, NO_LEADER, LeaderRow
from indigoworks.ownership.leader_row_writer import LeaderRowWriter
from indigoworks.ownership.leader_state import LeaderState
from indigoworks.ownership.may_lead import MayLead, may_always_lead
from indigoworks.ownership.order_tracker import OrderTracker
from indigoworks.ownership.predecessor_bound import PredecessorBound
from indigoworks.ownership.proof_record import ProofRecord
from indigoworks.rowstore.errors import ConditionFailed, StoreError
from indigoworks.rowstore.row import Row
from indigoworks.rowstore.row_store import RowStore
from indigoworks.rowstore.store_health import StoreHealth
from indigoworks.rowstore.store_version import NO_VERSION, StoreVersion
from indigoworks.rowstore.transaction import ExpectedVersion

MAX_STORE_PROOF_AGE_S = 2.5
"""A process challenges only if its newest proof from the store is younger than this."""


class Leadership:
    """Follows the leader row, challenges a lost leader, and decides whether this process may act.

    Proof of leadership is an answer of the store that shows the leader row still naming this run
    (`boot`) of the process; its age counts from a time at which the answer was certainly true. A
    challenge does not wait for the old leader's lease to expire: what the old leader may still have
    granted is ruled out server by server.

    In a new era of the store nobody leads until a leader row of that era is written, since earlier
    rows may be lost. Others let the leader of the former era go first: it knows what it granted.

    :ivar may_lead: asked before each challenge.
    :ivar has_read: the group's rows have been read.
    :ivar proof: newest proof of leadership.
    :ivar predecessor: the leader row before the newest one, if the newest names this process.
    :ivar former: what was known of the group when the previous era ended.
    :ivar era_seen_s: clock reading at which this process learnt of the current era.
    :ivar others_led_until_s: clock reading at which this process learnt of the end of the newest
        era in which others may have led.
    """

    def __init__(
        self,
        node: str,
        boot: str,
        group: ControlGroup,
        store: RowStore,
        health: StoreHealth,
        peers: PeerView,
        directory: PeerDirectory,
        clock: Clock,
        challenge_delay: ChallengeDelay,
    ) -> None:
        self._node = node
        self._boot = boot
        self._group = group
        self._writer = LeaderRowWriter(group, store)
        self._health = health
        self._clock = clock
        self._challenge_delay = challenge_delay
        self._row = self.predecessor = NO_LEADER
        self.former = NO_FORMER_ERA
        self._row_seen_s = self.era_seen_s = self.others_led_until_s = clock.now()
        self.has_read = self._has_read_era = False
        self.proof = ProofRecord(self.is_named, clock)
        self._followed_s = float("-inf")
        self._acting_epoch: int | None = None
        self._changed = asyncio.Event()
        self._resignation = LeaderResignation(self._give_up_row, clock)
        self.may_lead: MayLead = may_always_lead
        self._orders: OrderTracker | None = None
        self.select_witnesses: Callable[[], tuple[ProcessId, ...]] = tuple
        self.row_lock = asyncio.Lock()
        self.liveness = LeaderLiveness(peers, directory, clock)
        self._reasons = ChallengeReasons(node, self.liveness, directory, clock)
        group.eras.on_new(self._begin_era)

    # ---- updates from the store ----

    def apply(self, rows: Sequence[Row]) -> None:
        """Apply leader rows of the current era; other rows are ignored."""
        for row in rows:
            is_newer = row.version.era == self.era and row.version > self._row.version
            if row.key == LEADER_KEY and is_newer:
                self._accept_row(LeaderRow.decode(row.value, row.version))

    def record_proof(self, true_at_s: float) -> None:
        """Record that the rows applied so far were the newest at `true_at_s`."""
        if not self.has_read:
            self.era_seen_s = self.others_led_until_s = self._clock.now()
        self.has_read = self._has_read_era = True
        self._followed_s = max(self._followed_s, true_at_s)
        self.record_commit(true_at_s)

    def record_commit(self, sent_s: float) -> None:
        """Record that a transaction conditioned on our leader row was committed."""
        self.proof.record(sent_s)

    def record_former_row(self, row: LeaderRow) -> None:
        """Record a leader row of an earlier era that is found in the store."""
        if row.version > self.former.row.version:
            self.former = replace(self.former, row=row)

    def start_acting(
        self, epoch: int, predecessor: PredecessorBound, bounds: HoldBounds, orders: OrderTracker
    ) -> None:
        """Start sending orders in `epoch`, now that earlier leaders' grants have their bounds."""
        self._acting_epoch = epoch
        self._orders = orders
        leader_log.log_acting(
            epoch, predecessor, bounds, self.led_former_era(self.era - 1), self._clock.now()
        )

    def _begin_era(self) -> None:
        is_fresh = self._has_read_era and self._clock.now() - self._followed_s <= HOLD_S
        may_have_acted = not self.is_named() or self.is_acting()
        last = self._row if may_have_acted else self.predecessor
        newest = max(last, self.former.row, key=lambda each: each.version)
        is_led = self.may_act() and self.is_acting()
        self.former = FormerEra(newest, is_led, is_fresh)
        self._row_seen_s = self.era_seen_s = self._clock.now()
        if not (is_led and self.is_first_in_era()):
            self.others_led_until_s = self.era_seen_s
        self._row, self.predecessor = NO_LEADER, NO_LEADER
        self.proof.discard()
        self._has_read_era = False
        self._changed.set()

    # ---- state ----

    @property
    def era(self) -> int:
        """Return the current era of the store."""
        return self._group.eras.current

    def led_former_era(self, era: int) -> bool:
        """Return whether this process led until `era` ended and nobody has led since."""
        return self.former.is_led and self._is_first_after(era)

    def knows_former_era(self, era: int) -> bool:
        """Return whether this process knows of all moves of ranges made in `era`.

        A move away from an owner that renews its grants needs a release, which that owner has seen,
        or the end of a hold.
        """
        return self._is_first_after(era) and (self.former.is_led or self.former.is_fresh)

    def is_acting(self) -> bool:
        """Return whether the row names this process and `start_acting` was called for its epoch."""
        return self.is_named() and self._acting_epoch == self._row.epoch

    def _is_first_after(self, era: int) -> bool:
        """Return whether this era had no earlier leader and `era` directly precedes it."""
        return era == self.era - 1 and self.former.precedes(self.era) and self.is_first_in_era()

    def is_first_in_era(self) -> bool:
        """Return whether no earlier leader of this era is known."""
        return self.predecessor.version == NO_VERSION

    def previous_leader_row(self) -> LeaderRow:
        """Return the leader row before the one that names this process."""
        return self.former.row if self.is_first_in_era() else self.predecessor

    @property
    def row(self) -> LeaderRow:
        """Return the newest known row."""
        return self._row

    def is_named(self) -> bool:
        """Return whether the newest known row names this process."""
        return self._row.boot == self._boot and self._row.node == self._node

    def may_act(self) -> bool:
        """Return whether this process may act as leader now; called right before each order."""
        is_given_up = self._resignation.is_given_up(self._row.epoch)
        is_over = is_given_up or self.liveness.heard_later_epoch(self._row.epoch)
        return self.is_named() and not is_over and self.proof_age_s() < LEADER_LEASE_S

    def proof_age_s(self) -> float:
        """Return the age of the newest proof of leadership; infinity: there is none."""
        return self.proof.age_s()

    def state(self) -> LeaderState:
        """Return the state of this process as leader, for the log."""
        is_given_up = self._resignation.is_given_up(self._row.epoch)
        has_proof, has_acted = self.proof.is_known, self._acting_epoch is not None
        return LeaderState.of(is_given_up, self.is_named(), has_proof, has_acted)

    def condition(self) -> ExpectedVersion:
        """Return the condition of all transactions of a leader."""
        return ExpectedVersion(CONTROL_TABLE, LEADER_KEY, self._row.version)

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait until the row changes, at most `timeout_s` seconds."""
        self._changed.clear()
        await wait_for_event(self._changed, timeout_s)

    # ---- challenge ----

    async def challenge_if_lost(self) -> None:
        """Try to take over the leadership if the leader is lost; `is_named` shows the result."""
        reason = self._reason_to_challenge()
        skips_delay = reason == "own_earlier_boot" and self._challenge_delay.may_skip_delay()
        if reason is not None and reason != "led_before" and not skips_delay:
            await self._clock.sleep(self._challenge_delay.wait_s(self._row.node))
            reason = self._reason_to_challenge()
        if reason is not None and await self.may_lead(reason == GIVEN_UP):
            reason = self._reason_to_challenge()
            if reason is not None:
                await self._take_over(reason)

    async def resign(self) -> None:
        """Give up the leadership for good, so that others can take over at once."""
        await self._resignation.resign(self.is_named())

    async def hand_over(self, reason: str) -> None:
        """Give up this epoch, so that another process takes over; this one may challenge later."""
        await self._resignation.hand_over(
            self._row.epoch, reason, lambda epoch: self.is_named() and self._row.epoch == epoch
        )

    async def _give_up_row(self, reason: str) -> bool:
        """Write a row that names nobody; returns whether the store took it."""
        row = replace(self._row, node="", boot="", version=NO_VERSION)
        self.proof.discard()
        open_orders = leader_log.order_fields(self._orders)
        result = await self._writer.write(row, self.condition())
        leader_log.log_resigned(row.epoch, reason, result.is_ok(), open_orders)
        return result.is_ok()

    def _reason_to_challenge(self) -> str | None:
        is_store_healthy = self._has_read_era and self._health.proof_age_s() < MAX_STORE_PROOF_AGE_S
        if self._resignation.bars_challenge() or not is_store_healthy or self.is_named():
            return None
        if self._row.version != NO_VERSION:
            return self._reasons.for_row(self._row, self._row_seen_s)
        if self.led_former_era(self.era - 1):
            return "led_before"
        return self._reasons.for_missing_row(self.former.row, self.era, self.era_seen_s)

    async def _take_over(self, reason: str) -> None:
        silence_s = self.liveness.silence_s(self._row.epoch, self._row_seen_s)
        known = max(self._row.epoch, self.former.row.epoch, first_number(self.era))
        witnesses, replaced = self.select_witnesses(), self._row.as_replaced()
        row = LeaderRow(known + 1, self._node, self._boot, NO_VERSION, witnesses, replaced)
        result = await self.put_own_row(row)
        is_decided = result.is_ok() or isinstance(result.unwrap_err(), ConditionFailed)
        self._challenge_delay.record_outcome(is_failed=not is_decided)
        leader_log.log_challenge(row.epoch, reason, silence_s, result)

    async def put_own_row(self, row: LeaderRow) -> Result[StoreVersion, StoreError]:
        """Write a row that names this process; it is in force here once that is answered."""
        sent_s = self._clock.now()
        result = await self._writer.write(row, self.condition())
        if isinstance(result, Ok):
            self._accept_row(replace(row, version=result.unwrap()))
            self.record_commit(sent_s)
        elif self.is_named():
            self.proof.record_failed_write(result.unwrap_err(), row.epoch)
        return result

    def _accept_row(self, row: LeaderRow) -> None:
        if row.version <= self._row.version:
            return
        if row.is_same_leader(self._row):
            self._row = row
            return
        was_ours = self.is_named()
        if not was_ours:
            self.predecessor = self._row
        self._row = row
        self._row_seen_s = self._clock.now()
        self._changed.set()
        if was_ours and not self.is_named():
            self.proof.discard()
            leader_log.log_lost(row.epoch, row.node, self._orders)
        elif not self.is_named():
            leader_log.log_seen(row)
