"""Log lines on one range: which servers may hold its keys, and how that is known."""

from contextlib import AbstractContextManager
from dataclasses import dataclass

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.ownership.hold_bounds import HoldBounds
from indigoworks.ownership.leader_log import left_s
from indigoworks.ownership.leader_proof import proof_fields
from indigoworks.ownership.leadership import Leadership
from indigoworks.ownership.order_tracker import OrderTracker
from indigoworks.ownership.owned_range import FormerOwner, OwnedRange
from indigoworks.ownership.sent_order import SentOrder
from indigoworks.ownership.transfer_proof import TransferProof


@dataclass(slots=True)
class _FormerOwnerRecord:
    """Bounds and proof of a former owner when it was ruled out.

    :ivar own_until_s: latest end of the holds recorded for it; see HoldBounds.last_grant.
    """

    began_s: float
    own_until_s: float = float("-inf")
    token: int | None = None
    predecessor_until_s: float = float("-inf")
    proof: TransferProof | None = None
    proved_s: float = float("-inf")
    tries: int = 0


class RangeLog:
    """Writes the log lines of one range keeper; nothing is decided by it."""

    def __init__(
        self,
        service: str,
        owned: OwnedRange,
        leadership: Leadership,
        bounds: HoldBounds,
        orders: OrderTracker,
        clock: Clock,
    ) -> None:
        self._service = service
        self._owned = owned
        self._leadership = leadership
        self._bounds = bounds
        self._orders = orders
        self._clock = clock
        self._records: dict[str, _FormerOwnerRecord] = {}

    def track_order(
        self, kind: str, server_id: str, token: int, timeout_s: float, hold_s: float | None = None
    ) -> AbstractContextManager[SentOrder]:
        """Track an order that is about to be sent; the block must set its result."""
        order = SentOrder(
            kind,
            self._service,
            server_id,
            self._owned.first,
            self._owned.last,
            token,
            self._leadership.row.epoch,
            timeout_s,
            hold_s,
            self._clock.now(),
        )
        return self._orders.track(order, self._leadership)

    # ---- former owners ----

    def record_bounds(self, former: FormerOwner) -> None:
        """Record the bounds of a former owner's holds, before an answer removes them."""
        record = self._records.setdefault(former.server_id, _FormerOwnerRecord(self._clock.now()))
        until_s, token = self._bounds.last_grant(former.server_id, *self._keys())
        record.own_until_s = until_s
        record.token = record.token if token is None else token
        record.predecessor_until_s = self._bounds.predecessor_until_s
        record.tries += 1

    def expired_bound(self, server_id: str) -> TransferProof:
        """Return which of this process's and its predecessor's bounds ended last."""
        record = self._records[server_id]
        bounds_s = {
            TransferProof.PREDECESSOR_BOUND: record.predecessor_until_s,
            TransferProof.OWN_BOUND: record.own_until_s,
        }
        # The own bound here may be that of a hold which HoldBounds has dropped since it ended.
        ended = [each for each in bounds_s if float("-inf") < bounds_s[each] < self._clock.now()]
        return max(ended, key=lambda each: bounds_s[each], default=TransferProof.NO_BOUND)

    def log_ruled_out(self, former: FormerOwner, proof: TransferProof) -> None:
        """Log that a former owner no longer holds a key of the range."""
        record = self._records[former.server_id]
        record.proof = proof
        record.proved_s = self._clock.now()
        self.log(
            "range:former_ruled_out",
            former=former.server_id,
            reason=proof.value,
            took_s=round(record.proved_s - record.began_s, 3),
            tries=record.tries - 1,
        )

    def log_wait(self, former: FormerOwner, is_listed: bool) -> None:
        """Log what the range has been waiting for."""
        bound_s = self._bounds.until_s(former.server_id, *self._keys())
        own_s = self._bounds.own_until_s(former.server_id, *self._keys())
        self.log(
            "range:waits_for_former",
            former=former.server_id,
            is_listed=is_listed,
            bound_left_s=left_s(bound_s, self._clock.now()),
            is_bound_of_predecessor=own_s < bound_s,
        )

    # ---- the owner ----

    def log_transfer(self) -> None:
        """Log that the first grant to the owner is sent, in one line for each former owner."""
        for former in self._owned.former:
            if former.server_id != self._owned.server_id:
                if former.server_id not in self._records:
                    self.record_bounds(former)
                self._log_former_owner(former, self._records[former.server_id])

    def _log_former_owner(self, former: FormerOwner, record: _FormerOwnerRecord) -> None:
        now_s = self._clock.now()
        grants, oldest_s = self._orders.open_on_keys("grant", former.server_id, *self._keys())
        releases, _ = self._orders.open_on_keys("release", former.server_id, *self._keys())
        bound_of, bound_epoch = self._bound_of(record.proof)
        self.log(
            "range:passed",
            former=former.server_id,
            former_token=record.token,
            proof="none" if record.proof is None else record.proof.value,
            proved_ago_s=left_s(now_s, record.proved_s),
            bound_of=bound_of,
            bound_epoch=bound_epoch,
            own_left_s=left_s(record.own_until_s, now_s),
            predecessor_left_s=left_s(record.predecessor_until_s, now_s),
            unanswered=grants,
            unanswered_releases=releases,
            oldest_unanswered_s=oldest_s,
        )

    def _bound_of(self, proof: TransferProof | None) -> tuple[str | None, int | None]:
        """Return which leader's bound a proof is, and an epoch; None: the proof is no bound.

        For an own bound this is the current epoch, even if the hold is from before it.
        """
        if proof is TransferProof.OWN_BOUND:
            return "this_leader", self._leadership.row.epoch
        if proof is TransferProof.PREDECESSOR_BOUND:
            return "predecessor", self._leadership.previous_leader_row().epoch
        return None, None

    def _keys(self) -> tuple[int, int]:
        return self._owned.first, self._owned.last

    def log(self, message_type: str, **fields: object) -> None:
        """Write a log line on the range, with the proof of this process's leadership."""
        log_message(
            message_type=message_type,
            service=self._service,
            first=self._owned.first,
            last=self._owned.last,
            server=self._owned.server_id,
            token=self._owned.token,
            epoch=self._leadership.row.epoch,
            **proof_fields(self._leadership),
            **fields,
        )
