"""Finds out when servers that may hold a range under lower tokens hold it no longer."""

from indigoworks.common.clock import Clock
from indigoworks.ownership.hold_bounds import CLOCK_DRIFT_FACTOR, HoldBounds
from indigoworks.ownership.hold_policy import HoldPolicy
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
"""Longest wait for the answer to a release, which comes when the work has ended."""

RELEASE_AGAIN_S = 0.8
"""A release is sent again after so long without an answer: that may have been lost, and a release
that is repeated does no more than the first."""

RETRY_S = 0.15
"""Pause before a former owner is looked at again."""

LONG_WAIT_S = 3.0
"""A range that waits so long for a former owner is logged once, with what it still waits for."""


class FormerOwners:
    """Rules out the former owners of one range.

    Proofs are the server's answer to a release, the known end of its process, and the end of its
    hold. A grant that it left unanswered has no end by time while its process may stand still.

    :ivar handover: what the last release that was answered brought for the next owner.
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
        self._unasked_until_s = float("-inf")
        self._records: dict[str, ServerRecord] = {}
        self._released: set[str] = set()
        self.handover: str | None = None
        self.late_grant_server_id: str | None = None

    async def rule_out_all(self) -> None:
        """Return when no former owner can hold a key of the range any more."""
        for former in self._owned.former:
            if former.server_id != self._owned.server_id:
                await self._rule_out(former)

    async def _rule_out(self, former: FormerOwner) -> None:
        started_s = self._clock.now()
        self._unasked_until_s = self._unasked_until(former.server_id)
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
            if not is_logged and self._clock.now() - started_s > LONG_WAIT_S:
                is_logged = True
                self._log.log_wait(former, self._servers.get(former.server_id) is not None)
            await self._clock.sleep(RETRY_S)

    def _proof(self, server_id: str, is_asked: bool) -> TransferProof | None:
        """Return what shows without an order that a server holds none of the keys.

        :param is_asked: an order has shown whether the server answers.
        """
        if self._servers.is_gone(server_id):
            return TransferProof.SERVER_REPLACED
        until_s = self._bounds.until_s(server_id, *self._keys())
        if self._may_have_order(server_id):
            if not is_asked:
                return None
            until_s = max(until_s, self._queue_until_s(server_id))
        if self._clock.now() > until_s:
            return self._log.expired_bound(server_id)
        return None

    def _record(self, server_id: str) -> ServerRecord | None:
        """Return a server as the list named it last, however long ago, so that it can be asked."""
        record = self._servers.get(server_id)
        if record is not None:
            self._records[server_id] = record
        return self._records.get(server_id)

    def _may_have_order(self, server_id: str) -> bool:
        """Tell whether a grant of these keys may be on its way to a server."""
        is_inherited = self._bounds.is_inherited(server_id, *self._keys())
        return is_inherited or self._bounds.may_apply_late(server_id, *self._keys())

    def _queue_until_s(self, server_id: str) -> float:
        """Return until when orders that wait in the queue of a server may make it hold keys.

        Its process may stand still for however long; a hold begins when the order is taken. It has
        ended where nobody listens any more and its entry is gone.
        """
        if not self._reach.is_silent(server_id):
            is_known = self._record(server_id) is not None
            return float("-inf") if is_known else self._unasked_until_s
        refused_s = self._reach.refused_since_s(server_id)
        if refused_s is None or self._servers.is_listed(server_id):
            return float("inf")
        return refused_s + self._longest_s()

    def _unasked_until(self, server_id: str) -> float:
        """Return until when a server may hold keys whose address is not known.

        Its bound has been noted when the table was recovered, or it is that of a leader which was
        never heard.
        """
        if self._bounds.own_until_s(server_id, *self._keys()) > float("-inf"):
            return float("-inf")
        return self._clock.now() + self._longest_s()

    def _longest_s(self) -> float:
        return longest_unreported_hold_s(self._policy.longest_max_s) * CLOCK_DRIFT_FACTOR

    async def release(self, server_id: str) -> TransferProof | None:
        """Have a server give the keys up; None: that does not show that it holds none."""
        record = self._record(server_id)
        if record is None or not self._leadership.may_act():
            return None
        release = KeyRelease(*self._keys(), self._owned.token - 1)
        outcome = await self._answered_release(record, release)
        self._reach.record_result(server_id, outcome.result)
        if outcome.result is OrderResult.DONE:
            return self._note_released(server_id, release, outcome)
        if outcome.is_from_other(server_id):
            by_server_id = outcome.answering_id or ""
            self._servers.record_replaced(server_id, by_server_id, ReplacementEvidence.ORDER)
            return TransferProof.ORDER_MISDIRECTED
        return None

    def _note_released(
        self, server_id: str, release: KeyRelease, outcome: OrderOutcome
    ) -> TransferProof | None:
        self._bounds.record_released(server_id, *self._keys(), release.token)
        self.handover = outcome.handover or self.handover
        is_late = self._bounds.may_apply_late(server_id, *self._keys())
        if not is_late and not self._may_have_inherited(server_id):
            return TransferProof.RELEASED
        self._released.add(server_id)
        self.late_grant_server_id = server_id
        # The range goes back. For its present owner a release is enough then, as far as this goes:
        # the two would be fenced in turn for ever.
        self._bounds.clear_unfenced(self._owned.server_id, *self._keys())
        return None

    def _may_have_inherited(self, server_id: str) -> bool:
        """Tell whether a server that has released the keys may take an earlier leader's grant.

        Not where the present owner was granted them since, nor where several servers may hold them.
        """
        is_only = len(self._owned.former) == 1
        return is_only and self._bounds.is_unfenced(server_id, *self._keys())

    async def _answered_release(self, record: ServerRecord, release: KeyRelease) -> OrderOutcome:
        """Send a release until it is answered, at most for RELEASE_TIMEOUT_S."""
        until_s = self._clock.now() + RELEASE_TIMEOUT_S
        while True:
            with self._log.track_order(
                "release", record.server_id, release.token, RELEASE_AGAIN_S
            ) as order:
                outcome = await self._orders.release(
                    record, release, RELEASE_AGAIN_S, self._leadership.may_act
                )
                order.result = outcome.result
            is_answered = outcome.result is not OrderResult.UNANSWERED
            if not is_answered:
                self._reach.mark_silent(record.server_id)
            if is_answered or self._clock.now() >= until_s or not self._leadership.may_act():
                return outcome

    def _keys(self) -> tuple[int, int]:
        return self._owned.first, self._owned.last
