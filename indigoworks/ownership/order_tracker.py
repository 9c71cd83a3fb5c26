"""Tracks orders in flight or unanswered, and logs them."""

from collections.abc import Iterator
from contextlib import contextmanager

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.ownership.leader_proof import LeaderProof, proof_fields
from indigoworks.ownership.leader_state import LeaderState
from indigoworks.ownership.log_throttle import LogThrottle
from indigoworks.ownership.order_outcome import OrderResult
from indigoworks.ownership.sent_order import SentOrder
from indigoworks.ownership.server_silence import ServerSilence
from indigoworks.ownership.unanswered_orders import UnansweredOrders

OLD_PROOF_S = 3.0
"""An order that is sent or answered with an older proof of leadership is logged."""


class OrderTracker:
    """Tracks each order from its sending to its end, for the log only."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._in_flight: list[SentOrder] = []
        self._unanswered = UnansweredOrders()
        self._silences: dict[str, ServerSilence] = {}
        self._old_proof = {each: LogThrottle(clock) for each in ("sent", "ended")}

    @contextmanager
    def track(self, order: SentOrder, proof: LeaderProof) -> Iterator[SentOrder]:
        """Track an order while the block runs; the block must set its result."""
        self._in_flight.append(order)
        self._log_old_proof("sent", order, proof)
        try:
            yield order
        finally:
            self._in_flight = [each for each in self._in_flight if each is not order]
            self._record_end(order, proof)

    # ---- counts ----

    def in_flight_count(self) -> int:
        """Return the number of orders in flight."""
        return len(self._in_flight)

    def unanswered_count(self) -> int:
        """Return the number of recent orders that were given up without an answer."""
        self._unanswered.drop_old(self._clock.now())
        return self._unanswered.count()

    def open_on_keys(
        self, kind: str, server_id: str, first: int, last: int
    ) -> tuple[int, float | None]:
        """Return how many orders of a kind on any of the keys a server has not answered, including
        those in flight, and the age of the oldest.
        """
        self._unanswered.drop_old(self._clock.now())
        count, oldest_s = self._unanswered.on_keys(kind, server_id, first, last)
        sent_s = [
            each.sent_s
            for each in self._in_flight
            if (each.kind, each.server_id) == (kind, server_id)
            and each.first <= last
            and first <= each.last
        ]
        if oldest_s is not None:
            sent_s.append(oldest_s)
        age_s = round(self._clock.now() - min(sent_s), 3) if sent_s else None
        return count + len(sent_s) - (oldest_s is not None), age_s

    # ---- results ----

    def _record_end(self, order: SentOrder, proof: LeaderProof) -> None:
        if order.result is None or order.result is OrderResult.UNANSWERED:
            self._record_unanswered(order, proof)
        elif order.result.is_answer:
            self._record_answer(order.server_id)
            self._log_old_proof("ended", order, proof)

    def _record_unanswered(self, order: SentOrder, proof: LeaderProof) -> None:
        self._unanswered.drop_old(self._clock.now())
        self._unanswered.add(order)
        silence = self._silences.get(order.server_id)
        if silence is None:
            silence = ServerSilence(order.sent_s, LogThrottle(self._clock))
            self._silences[order.server_id] = silence
        count = silence.add(order.kind)
        if count is not None:
            is_cancelled = order.result is None
            self._log("order:unanswered", order, proof, count=count, is_cancelled=is_cancelled)

    def _record_answer(self, server_id: str) -> None:
        silence = self._silences.pop(server_id, None)
        if silence is not None:
            log_message(
                message_type="order:answered_again",
                server=server_id,
                grants=silence.counts.get("grant", 0),
                releases=silence.counts.get("release", 0),
                silent_s=round(self._clock.now() - silence.began_s, 3),
            )

    def _log_old_proof(self, moment: str, order: SentOrder, proof: LeaderProof) -> None:
        if proof.proof_age_s() <= OLD_PROOF_S and proof.state() is LeaderState.LEADS:
            return
        count = self._old_proof[moment].count_event()
        if count is not None:
            result = None if order.result is None else order.result.value
            self._log("order:old_proof", order, proof, moment=moment, result=result, count=count)

    def _log(
        self, message_type: str, order: SentOrder, proof: LeaderProof, **fields: object
    ) -> None:
        log_message(
            message_type=message_type,
            kind=order.kind,
            service=order.service,
            server=order.server_id,
            first=order.first,
            last=order.last,
            token=order.token,
            epoch=order.epoch,
            sent_ago_s=round(self._clock.now() - order.sent_s, 3),
            timeout_s=order.timeout_s,
            hold_s=order.hold_s,
            **proof_fields(proof),
            **fields,
        )
