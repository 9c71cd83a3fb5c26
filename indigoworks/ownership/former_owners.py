"""Waits until servers that may hold a range under lower tokens no longer do."""

from indigoworks.common.clock import Clock
from indigoworks.ownership.hold_bounds import (
    CLOCK_DRIFT_FACTOR,
    MAX_ORDER_DELAY_S,
    HoldBounds,
)
from indigoworks.ownership.hold_policy import HOLD_S, HoldPolicy
from indigoworks.ownership.key_release import KeyRelease
from indigoworks.ownership.leadership import Leadership
from indigoworks.ownership.order_outcome import OrderOutcome, OrderResult
from indigoworks.ownership.owned_range import FormerOwner, OwnedRange
from indigoworks.ownership.predecessor_bound import longest_unreported_hold_s
from indigoworks.ownership.range_log import RangeLog
from indigoworks.ownership.server_orders import ServerOrders
from indigoworks.ownership.server_reach import ServerReach
from indigoworks.ownership.transfer_proof import TransferProof
from indigoworks.servers.replacement_evidence import ReplacementEvidence
from indigoworks.servers.server_record import ServerRecord
from indigoworks.servers.server_source import ServerSource

RELEASE_TIMEOUT_S = 3.0
"""Longest wait for the answer to a release; the server answers when its work on the keys ends."""

RELEASE_RESEND_S = 0.8
"""A release without an answer is sent again after this time: the answer may be lost, and releases
are idempotent."""

CHECK_PERIOD_S = 0.15
"""Pause between two checks of a former owner."""

LOG_WAIT_AFTER_S = 3.0
"""A range that waits longer for a former owner is logged once, with the bound it waits for."""


class FormerOwners:
    """Rules out the former owners of one range.

    A former owner is ruled out by its answer to a release, by the known end of its process, or by
    the end of its hold. An unanswered grant has no such end while the server may be paused: its
    hold starts when it is applied.

    :ivar handover: data for the next owner from the last answered release.
    :ivar late_grant_server_id: a server that has answered a release and may still apply an earlier
        grant, which it refuses after it has answered one under a higher token; None: there is none.
    """

    def __init__(
        self,
        owned: OwnedRange,
        leadership: Leadership,
        orders: ServerOrders,
        servers: ServerSource,
        bounds: HoldBounds,
        policy: HoldPolicy,
        reach: ServerReach,
        log: RangeLog,
        clock: Clock,
    ) -> None:
        self._owned = owned
        self._leadership = leadership
        self._orders = orders
        self._servers = servers
        self._bounds = bounds
        self._policy = policy
        self._reach = reach
        self._log = log
        self._clock = clock
        self._unknown_until_s = float("-inf")
        self._records: dict[str, ServerRecord] = {}
        self._released: set[str] = set()
        self.handover: str | None = None
        self.late_grant_server_id: str | None = None

    async def rule_out_all(self) -> None:
        """Return when no former owner can hold a key of the range any more."""
        others = [each for each in self._owned.former if each.server_id != self._owned.server_id]
        # Counted from now for all of them: while the first is waited for, nobody but this leader
        # grants keys to the others.
        unknown_until_s = {each: self._unknown_until(each.server_id) for each in others}
        for former in others:
            self._unknown_until_s = unknown_until_s[former]
            await self._rule_out(former)

    async def _rule_out(self, former: FormerOwner) -> None:
        started_s = self._clock.now()
        is_asked = is_logged = False
        while True:
            self._log.record_bounds(former)
            proof = self._proof(former.server_id, is_asked)
            if proof is None and former.server_id not in self._released:
                proof = await self.release(former.server_id)
            if proof is not None:
                self._log.log_ruled_out(former, proof)
                return
            is_asked = True
            if not is_logged and self._clock.now() - started_s > LOG_WAIT_AFTER_S:
                is_logged = True
                self._log.log_wait(former, self._servers.get(former.server_id) is not None)
            await self._clock.sleep(CHECK_PERIOD_S)

    def _proof(self, server_id: str, is_asked: bool) -> TransferProof | None:
        """Return a proof that a server holds none of the keys, as far as no order is needed for it.

        :param is_asked: an order has shown whether the server answers.
        """
        if self._servers.is_gone(server_id):
            return TransferProof.SERVER_REPLACED
        until_s = self._bounds.until_s(server_id, *self._keys())
        if self._may_have_unapplied_grant(server_id):
            if not is_asked:
                return None
            until_s = max(until_s, self._queue_until_s(server_id, until_s))
        if self._clock.now() > until_s:
            return self._log.expired_bound(server_id)
        return None

    def _record(self, server_id: str) -> ServerRecord | None:
        """Return the last known record of a server, so that it can be sent a release."""
        record = self._servers.get(server_id)
        if record is not None:
            self._records[server_id] = record
        return self._records.get(server_id)

    def _may_have_unapplied_grant(self, server_id: str) -> bool:
        """Return whether a server may yet apply a grant of these keys that was sent earlier."""
        is_inherited = self._bounds.is_inherited(server_id, *self._keys())
        return is_inherited or self._bounds.may_apply_late(server_id, *self._keys())

    def _queue_until_s(self, server_id: str, until_s: float) -> float:
        """Return until when orders queued at a server may make it hold keys.

        :param until_s: the same if it has never stood still.

        A hold begins when the order is applied, and a process may be paused for any time: it then
        applies what waited once it goes on, before or after it answers other orders. The process
        has ended if its address refuses connections and its list entry is gone.
        """
        if not self._reach.is_silent(server_id):
            applied_until_s = until_s + self._reach.last_silence_s(server_id)
            is_known = self._record(server_id) is not None
            return applied_until_s if is_known else max(applied_until_s, self._unknown_until_s)
        refused_s = self._reach.refused_since_s(server_id)
        if refused_s is None or self._servers.is_listed(server_id):
            return float("inf")
        longest_s = max(MAX_ORDER_DELAY_S + HOLD_S, self._policy.longest_max_s)
        return refused_s + longest_s * CLOCK_DRIFT_FACTOR

    def _unknown_until(self, server_id: str) -> float:
        """Return until when a server may hold keys if no record of it, and so no address, is known.

        Minus infinity if a bound of its holds is recorded. Otherwise a leader from which nothing
        was heard may have granted it keys until now, for the longest hold.
        """
        if self._bounds.own_until_s(server_id, *self._keys()) > float("-inf"):
            return float("-inf")
        return self._clock.now() + self._longest_s()

    def _longest_s(self) -> float:
        return longest_unreported_hold_s(self._policy.longest_max_s) * CLOCK_DRIFT_FACTOR

    async def release(self, server_id: str) -> TransferProof | None:
        """Send a server a release of the keys; None: it may still hold some."""
        record = self._record(server_id)
        if record is None or not self._leadership.may_act():
            return None
        release = KeyRelease(*self._keys(), self._owned.token - 1)
        outcome = await self._send_release(record, release)
        self._reach.record_result(server_id, outcome.result)
        if outcome.result is OrderResult.DONE:
            return self._record_release(server_id, release, outcome)
        if outcome.is_from_other(server_id):
            by_server_id = outcome.answering_id or ""
            self._servers.record_replaced(record, by_server_id, ReplacementEvidence.ORDER)
            # The address may have been written under the server's id by another program.
            is_gone = self._servers.is_gone(server_id)
            return TransferProof.ORDER_MISDIRECTED if is_gone else None
        return None

    def _record_release(
        self, server_id: str, release: KeyRelease, outcome: OrderOutcome
    ) -> TransferProof | None:
        self._bounds.record_released(server_id, *self._keys(), release.token)
        self.handover = outcome.handover or self.handover
        is_late = self._bounds.may_apply_late(server_id, *self._keys())
        if not is_late and not self._may_apply_inherited(server_id):
            return TransferProof.RELEASED
        self._released.add(server_id)
        self.late_grant_server_id = server_id
        # The range moves back to this server. A release is then enough for its current owner;
        # without this the two servers would have to be fenced in turn for ever.
        self._bounds.clear_unfenced(self._owned.server_id, *self._keys())
        return None

    def _may_apply_inherited(self, server_id: str) -> bool:
        """Return whether a server that released the keys may still apply an earlier leader's grant.

        False if the current owner has been granted them since, or if others may hold them too.
        """
        is_only = len(self._owned.former) == 1
        return is_only and self._bounds.is_unfenced(server_id, *self._keys())

    async def _send_release(self, record: ServerRecord, release: KeyRelease) -> OrderOutcome:
        """Send a release until it is answered, at most for RELEASE_TIMEOUT_S."""
        until_s = self._clock.now() + RELEASE_TIMEOUT_S
        while True:
            with self._log.track_order(
                "release", record.server_id, release.token, RELEASE_RESEND_S
            ) as order:
                outcome = await self._orders.release(
                    record, release, RELEASE_RESEND_S, self._leadership.may_act
                )
                order.result = outcome.result
            is_answered = outcome.result is not OrderResult.UNANSWERED
            if not is_answered:
                self._reach.mark_silent(record.server_id)
            if is_answered or self._clock.now() >= until_s or not self._leadership.may_act():
                return outcome

    def _keys(self) -> tuple[int, int]:
        return self._owned.first, self._owned.last
