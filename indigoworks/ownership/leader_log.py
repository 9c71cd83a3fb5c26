"""Log lines on the leadership of this process."""

from collections.abc import Mapping

from eliot import log_message

from indigoworks.ownership.hold_bounds import HoldBounds
from indigoworks.ownership.leader_row import LeaderRow
from indigoworks.ownership.order_tracker import OrderTracker
from indigoworks.ownership.predecessor_bound import PredecessorBound

MAX_LOGGED_S = 1e6
"""Logged in place of infinity."""


def left_s(until_s: float, now_s: float) -> float | None:
    """Return the seconds until a bound, negative after it; None: there is no bound."""
    return None if until_s == float("-inf") else round(min(until_s - now_s, MAX_LOGGED_S), 3)


def log_acting(
    epoch: int, predecessor: PredecessorBound, bounds: HoldBounds, led_before: bool, now_s: float
) -> None:
    """Log that this process starts to send orders, and which bound it waits for."""
    until_s = bounds.predecessor_until_s
    if led_before:
        reason = "led_before"
    elif until_s == float("-inf"):
        reason = "nothing_granted"
    else:
        reason = "acts_no_more" if predecessor.has_stopped_acting() else "may_act"
    log_message(
        message_type="leader:acts",
        epoch=epoch,
        predecessor=predecessor.row.node,
        predecessor_epoch=predecessor.row.epoch,
        is_known_to_act_no_more=predecessor.has_stopped_acting(),
        bound_left_s=left_s(until_s, now_s),
        reason=reason,
    )


def log_seen(row: LeaderRow) -> None:
    """Log that another process leads."""
    log_message(message_type="leader:seen", epoch=row.epoch, node=row.node)


def log_taken(epoch: int, reason: str, silence_s: float) -> None:
    """Log that this process has taken over the leadership.

    :param silence_s: how long the leader before it was not heard.
    """
    log_message(
        message_type="leader:taken",
        epoch=epoch,
        reason=reason,
        silence_s=round(min(silence_s, MAX_LOGGED_S), 3),
    )


def log_challenge_failed(epoch: int, reason: str, error: str) -> None:
    """Log that the store refused a challenge, or did not answer it."""
    log_message(message_type="leader:challenge_failed", epoch=epoch, reason=reason, error=error)


def log_lost(epoch: int, to_node: str, orders: OrderTracker | None) -> None:
    """Log that the leader row no longer names this process."""
    log_message(
        message_type="leader:lost",
        level="WARNING",
        epoch=epoch,
        to_node=to_node,
        **order_fields(orders),
    )


def log_resigned(epoch: int, is_written: bool, order_fields: Mapping[str, object]) -> None:
    """Log that this process gave up the leadership.

    :param order_fields: as of the time at which it stopped acting.
    """
    log_message(message_type="leader:resigned", epoch=epoch, is_written=is_written, **order_fields)


def order_fields(orders: OrderTracker | None) -> dict[str, object]:
    """Return the log fields on orders that are open when a process stops leading."""
    return {
        "orders_under_way": 0 if orders is None else orders.in_flight_count(),
        "orders_unanswered": 0 if orders is None else orders.unanswered_count(),
    }
