"""Keeps one range granted to its owner; one task a range."""

import asyncio
import zlib
from collections.abc import Callable

from indigoworks.common.clock import Clock
from indigoworks.ownership.former_owners import FormerOwners
from indigoworks.ownership.hold_bounds import HoldBounds
from indigoworks.ownership.hold_policy import RENEWAL_S, HoldPolicy
from indigoworks.ownership.key_grant import KeyGrant
from indigoworks.ownership.leadership import Leadership
from indigoworks.ownership.order_outcome import OrderOutcome, OrderResult
from indigoworks.ownership.owned_range import OwnedRange
from indigoworks.ownership.range_log import RangeLog
from indigoworks.ownership.range_move import RangeMove
from indigoworks.ownership.server_orders import ServerOrders
from indigoworks.ownership.server_reach import ServerReach
from indigoworks.servers.replacement_evidence import ReplacementEvidence
from indigoworks.servers.server_source import ServerSource

ORDER_TIMEOUT_S = 0.8
"""Longest wait for the answer to a grant."""

MIN_PAUSE_S = 0.001
"""Shortest pause between two renewals."""

RETRY_S = 0.15
"""Pause before an order is sent again."""


class RangeKeeper:
    """Rules out former owners, grants the range, and renews the grant.

    Before each order it asks whether this process may still act as leader: one that slept or was
    cut off sends nothing more.

    :ivar is_granted: the owner has answered a grant of this range.
    :ivar needs_token: the owner has seen a higher token: the range needs a new one.
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
        self.is_granted = False
        self.needs_token = False
        self.task: asyncio.Task[None] | None = None
        self._is_quiet = self._is_passing = False
        self._is_reached = False
        self._last_result: OrderResult | None = None
        self._no_order = asyncio.Event()
        self._no_order.set()

    @property
    def needs_fence(self) -> bool:
        """Tell whether the owner answers again after it left a grant of these keys unanswered.

        Under a new token the owner refuses the one that it may still take late.
        """
        return self.is_granted and self._is_reached and self._may_be_late()

    def _may_be_late(self) -> bool:
        return self._bounds.may_apply_late(self.owned.server_id, self.owned.first, self.owned.last)

    @property
    def return_move(self) -> RangeMove | None:
        """Return the move of the range back to a server that answers; None: it is not to be made.

        The server has released the keys and may take an earlier grant late. As their owner it
        serves them, and its answer to a grant under a new token rules the late one out.
        """
        server_id = self._former.late_grant_server_id
        if self.is_granted or server_id is None:
            return None
        first, last = self.owned.first, self.owned.last
        return RangeMove(first, last, self.owned.server_id, server_id, "answers_again")

    def start(self, is_granted: bool) -> None:
        """Start the task; `is_granted`: the owner already holds the range under its token."""
        self.is_granted = is_granted
        self._is_passing = not is_granted
        self.task = asyncio.ensure_future(self._run())

    def stop(self) -> None:
        """End the task; an order that is under way counts as not answered."""
        self._reach.forget_sender(self.owned.server_id, self)
        if self.task is not None:
            self.task.cancel()

    async def quiesce(self) -> None:
        """Send no further grant; returns when none is under way.

        Before the row takes the range from its owner, the bound of the owner's hold must stand.
        """
        self._is_quiet = True
        await self._no_order.wait()
        self._reach.forget_sender(self.owned.server_id, self)

    def resume(self) -> None:
        """Renew again: the row leaves the range with its owner."""
        self._is_quiet = False

    async def renew(self) -> OrderResult | None:
        """Renew the grant once, and return the result; None: nothing was sent."""
        self.is_granted = True
        try:
            await self._grant()
        finally:
            self._reach.forget_sender(self.owned.server_id, self)
        return self._last_result

    async def release_from(self, server_id: str) -> bool:
        """Have a server release the range; False where it did not answer that it has."""
        return await self._former.release(server_id) is not None

    async def _run(self) -> None:
        if not self.is_granted:
            await self._former.rule_out_all()
        while True:
            pause_s = await self._grant()
            await self._clock.sleep(pause_s)

    # ---- the owner ----

    async def _grant(self) -> float:
        """Send a grant or renewal in its turn; returns the pause until the next, in seconds."""
        async with self._reach.grant_lock(self.owned.server_id):
            return await self._grant_in_turn()

    async def _grant_in_turn(self) -> float:
        record = self._servers.get(self.owned.server_id)
        if record is None:
            return RETRY_S
        if not self._may_send() or not self._reach.may_grant(self.owned.server_id, self):
            return RETRY_S
        hold_s = self._policy.hold_s(self._reach.is_doubtful(self.owned.server_id))
        grant = KeyGrant(
            self.owned.first, self.owned.last, self.owned.token, hold_s, self._former.handover
        )
        self._bounds.record_sent(self.owned, hold_s, ORDER_TIMEOUT_S)
        self._no_order.clear()
        if self._is_passing:
            self._is_passing = False
            self._log.log_transfer()
        try:
            with self._log.track_order(
                "grant", record.server_id, grant.token, ORDER_TIMEOUT_S, hold_s
            ) as order:
                outcome = await self._orders.grant(record, grant, ORDER_TIMEOUT_S, self._may_send)
                order.result = outcome.result
        except asyncio.CancelledError:
            self._bounds.record_unanswered(self.owned)
            raise
        finally:
            self._no_order.set()
        return self._note_outcome(outcome, hold_s)

    def _may_send(self) -> bool:
        return not self._is_quiet and self._leadership.may_act()

    def _note_outcome(self, outcome: OrderOutcome, hold_s: float) -> float:
        result = self._last_result = outcome.result
        self._reach.record_result(self.owned.server_id, result, self)
        self._is_reached = result is OrderResult.DONE
        if result is OrderResult.DONE:
            self._bounds.record_answered(self.owned, hold_s)
            if not self.is_granted:
                self.is_granted = True
                self._log.log(
                    "range:granted", hold_s=hold_s, has_handover=self._former.handover is not None
                )
                self._on_granted()
            self._former.handover = None
            return self._until_renewal_s()
        if result is OrderResult.UNANSWERED:
            self._bounds.record_unanswered(self.owned)
        else:
            self._bounds.record_not_applied(self.owned)
        if outcome.is_from_other(self.owned.server_id):
            by_server_id = outcome.answering_id or ""
            sign = ReplacementEvidence.ORDER
            self._servers.record_replaced(self.owned.server_id, by_server_id, sign)
        if result is OrderResult.FENCED:
            self.needs_token = True
            self.is_granted = False
            self._log.log("range:fenced", level="WARNING")
            return RENEWAL_S
        return RETRY_S

    def _until_renewal_s(self) -> float:
        """Return the pause until the next renewal: the ranges of a server are renewed together."""
        phase_s = zlib.crc32(self.owned.server_id.encode()) % 1000 / 1000 * RENEWAL_S
        left_s = RENEWAL_S - (self._clock.now() - phase_s) % RENEWAL_S
        # Rounding may leave less than the clock can count: the same instant would come again and
        # again where time passes only in sleeps.
        return max(MIN_PAUSE_S, left_s)
