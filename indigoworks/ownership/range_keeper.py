"""Keeps one range granted to its owner, in a task of its own."""

import asyncio
from collections.abc import Callable
from functools import partial

from indigoworks.common.clock import Clock
from indigoworks.common.supervision import supervise
from indigoworks.ownership.former_owners import FormerOwners
from indigoworks.ownership.grant_admission import ADMIT_ALL, GrantAdmission
from indigoworks.ownership.hold_bounds import HoldBounds
from indigoworks.ownership.hold_policy import RENEWAL_S, HoldPolicy
from indigoworks.ownership.key_grant import KeyGrant
from indigoworks.ownership.leadership import Leadership
from indigoworks.ownership.order_outcome import OrderOutcome, OrderResult
from indigoworks.ownership.owned_range import OwnedRange
from indigoworks.ownership.range_log import RangeLog
from indigoworks.ownership.range_move import RangeMove
from indigoworks.ownership.renewal_schedule import (
    FIXED_SCHEDULE,
    MIN_PAUSE_S,
    RenewalSchedule,
    until_renewal_s,
)
from indigoworks.ownership.server_orders import ServerOrders
from indigoworks.ownership.server_reach import ServerReach
from indigoworks.servers.replacement_evidence import ReplacementEvidence
from indigoworks.servers.server_record import ServerRecord
from indigoworks.servers.server_source import ServerSource

ORDER_TIMEOUT_S = 0.8
"""Longest wait for the answer to a grant."""

RETRY_DELAY_S = 0.15
"""Pause before an order is sent again."""


class RangeKeeper:
    """Rules out former owners, grants the range, and renews the grant.

    Before each order it checks whether this process may still act as leader: a process that was
    paused or cut off sends nothing more.

    :ivar is_granted: the range counts as granted, from `start`, `renew` or the first answered grant
        until the owner refuses its token. Unanswered renewals don't change it, nor the hold's end.
    :ivar needs_token: the owner has seen a higher token, so the range needs a new one.
    """

    def __init__(
        self,
        service: str,
        owned: OwnedRange,
        leadership: Leadership,
        orders: ServerOrders,
        servers: ServerSource,
        bounds: HoldBounds,
        policy: HoldPolicy,
        reach: ServerReach,
        clock: Clock,
        on_granted: Callable[[], None],
        admission: GrantAdmission = ADMIT_ALL,
        schedule: RenewalSchedule = FIXED_SCHEDULE,
    ) -> None:
        self.service = service
        self.owned = owned
        self._leadership = leadership
        self._orders = orders
        self._servers = servers
        self._bounds = bounds
        self._policy = policy
        self._reach = reach
        self._clock = clock
        self._log = RangeLog(service, owned, leadership, bounds, reach.orders, clock)
        self._former = FormerOwners(
            owned, leadership, orders, servers, bounds, policy, reach, self._log, clock
        )
        self._on_granted = on_granted
        self._admission = admission
        self._schedule = schedule
        self.is_granted = False
        self.needs_token = False
        self.task: asyncio.Task[None] | None = None
        self._is_quiesced = self._is_first_grant = self._is_confirmation = False
        self._has_answered = False
        self._answered_s = float("-inf")
        self._last_result: OrderResult | None = None
        self._no_grant_in_flight = asyncio.Event()
        self._no_grant_in_flight.set()

    @property
    def needs_fence(self) -> bool:
        """Return whether the owner answers again after it left a grant of these keys unanswered.

        Once it has a grant under a new token, it refuses the unanswered one.
        """
        return self.is_granted and self._has_answered and self._may_apply_late()

    def _may_apply_late(self) -> bool:
        return self._bounds.may_apply_late(self.owned.server_id, self.owned.first, self.owned.last)

    @property
    def return_move(self) -> RangeMove | None:
        """Return the move of the range back to a former owner that answers; None: not needed.

        That server has released the keys and may apply an earlier grant late. As their owner it can
        serve them, and its answer to a grant under a new token rules out the late one.
        """
        server_id = self._former.late_grant_server_id
        if self.is_granted or server_id is None:
            return None
        first, last = self.owned.first, self.owned.last
        return RangeMove(first, last, self.owned.server_id, server_id, "answers_again")

    def start(self, is_granted: bool) -> None:
        """Start the task.

        :param is_granted: the range counts as granted to its owner already, under its token or an
            earlier one.
        """
        self.is_granted = is_granted
        self._is_first_grant = not is_granted
        # Without its keeper a range is renewed no more, and its owner loses the keys.
        self.task = asyncio.ensure_future(supervise("range_keeper", self._run, self._clock))

    def stop(self) -> None:
        """End the task; a grant in flight counts as unanswered."""
        self._reach.forget_sender(self.owned.server_id, self)
        if self.task is not None:
            self.task.cancel()

    async def quiesce(self) -> None:
        """Stop sending grants; returns when none is in flight.

        The bound of the owner's hold must be known before the row takes the range away from it.
        """
        self._is_quiesced = True
        await self._no_grant_in_flight.wait()
        self._reach.forget_sender(self.owned.server_id, self)

    def resume(self) -> None:
        """Resume renewals: the row leaves the range with its owner."""
        self._is_quiesced = False

    async def renew(self) -> OrderResult | None:
        """Renew an earlier leader's grant once under its token, and return the result.

        None: nothing was sent.
        """
        self.is_granted = self._is_confirmation = True
        try:
            await self._grant()
        finally:
            self._reach.forget_sender(self.owned.server_id, self)
        return self._last_result

    async def release_from(self, server_id: str) -> bool:
        """Send a server a release of the range; returns whether that rules it out."""
        return await self._former.release(server_id) is not None

    async def _run(self) -> None:
        if not self.is_granted:
            await self._former.rule_out_all()
        while True:
            pause_s = await self._grant()
            await self._clock.sleep(pause_s)
            if self._has_answered:
                await self._wait_until_due()

    async def _wait_until_due(self) -> None:
        """Wait until the renewal of an answered grant is due.

        The interval is looked up after each RENEWAL_S, since trouble shortens it.
        """
        server_id = self.owned.server_id
        while (steps := self._schedule.steps(server_id)) > 1:
            now_s = self._clock.now()
            due_s = self._answered_s + until_renewal_s(server_id, self._answered_s, steps)
            if now_s >= due_s - MIN_PAUSE_S:
                return
            await self._clock.sleep(until_renewal_s(server_id, now_s, 1))

    # ---- the owner ----

    async def _grant(self) -> float:
        """Send a grant or renewal under the server's lock; returns the pause until the next."""
        async with self._reach.grant_lock(self.owned.server_id):
            return await self._grant_in_turn()

    async def _grant_in_turn(self) -> float:
        server_id = self.owned.server_id
        if not self._may_grant() or not await self._admission.admit(server_id):
            return RETRY_DELAY_S
        try:
            return await self._grant_admitted()
        finally:
            self._admission.settle(server_id)

    def _may_grant(self) -> bool:
        is_known = self._servers.get(self.owned.server_id) is not None
        return is_known and self._may_send() and self._reach.may_grant(self.owned.server_id, self)

    async def _grant_admitted(self) -> float:
        record = self._servers.get(self.owned.server_id)
        if record is None or not self._may_grant():
            return RETRY_DELAY_S
        policy_s = self._policy.hold_s(self._reach.is_doubtful(self.owned.server_id))
        hold_s = min(policy_s, self._admission.longest_hold_s())
        grant = KeyGrant(
            self.owned.first, self.owned.last, self.owned.token, hold_s, self._former.handover
        )
        self._bounds.record_sent(self.owned, hold_s, ORDER_TIMEOUT_S)
        self._no_grant_in_flight.clear()
        if self._is_first_grant:
            self._is_first_grant = False
            self._log.log_transfer()
        try:
            with self._log.track_order(
                "grant", record.server_id, grant.token, ORDER_TIMEOUT_S, hold_s
            ) as order:
                outcome = await self._orders.grant(
                    record, grant, ORDER_TIMEOUT_S, partial(self._may_send_now, hold_s)
                )
                order.result = outcome.result
        except asyncio.CancelledError:
            self._bounds.record_unanswered(self.owned)
            raise
        finally:
            self._no_grant_in_flight.set()
        return self._record_outcome(record, outcome, hold_s)

    def _may_send_now(self, hold_s: float) -> bool:
        """Return whether a grant may be sent; its bound then counts from now."""
        if not self._may_send():
            return False
        self._bounds.record_sent(self.owned, hold_s, ORDER_TIMEOUT_S)
        return True

    def _may_send(self) -> bool:
        return not self._is_quiesced and self._leadership.may_act()

    def _record_outcome(self, record: ServerRecord, outcome: OrderOutcome, hold_s: float) -> float:
        result = self._last_result = outcome.result
        self._reach.record_result(self.owned.server_id, result, self)
        self._has_answered = result is OrderResult.DONE
        if result is OrderResult.DONE:
            self._bounds.record_answered(self.owned, hold_s, not self._is_confirmation)
            if not self.is_granted:
                self.is_granted = True
                self._log.log(
                    "range:granted", hold_s=hold_s, has_handover=self._former.handover is not None
                )
                self._on_granted()
            self._former.handover = None
            self._answered_s = self._clock.now()
            return until_renewal_s(self.owned.server_id, self._answered_s, 1)
        if result is OrderResult.UNANSWERED:
            self._bounds.record_unanswered(self.owned)
        else:
            self._bounds.record_not_applied(self.owned)
        if outcome.is_from_other(self.owned.server_id):
            by_server_id = outcome.answering_id or ""
            sign = ReplacementEvidence.ORDER
            self._servers.record_replaced(record, by_server_id, sign)
        if result is OrderResult.FENCED:
            self.needs_token = True
            self.is_granted = False
            self._log.log("range:fenced", level="WARNING")
            return RENEWAL_S
        return RETRY_DELAY_S
