"""Lines of the log on what a process is as leader."""

from collections.abc import Mapping

from eliot import log_message

from indigoworks.ownership.hold_bounds import HoldBounds
from indigoworks.ownership.order_tracker import OrderTracker
from indigoworks.ownership.predecessor_bound import PredecessorBound

LONGEST_S = 1e6
"""Stands for a time without end."""


def left_s(until_s: float, now_s: float) -> float | None:
    """Return the seconds until a bound, negative after it; None where there is none."""
    return None if until_s == float("-inf") else round(min(until_s - now_s, LONGEST_S), 3)


def log_acting(
    epoch: int, before: PredecessorBound, bounds: HoldBounds, led_before: bool, now_s: float
) -> None:
    """Tell that this process begins to give orders, and for what it waits."""
    until_s = bounds.predecessor_until_s
    if led_before:
        reason = "led_before"
    elif until_s == float("-inf"):
        reason = "nothing_granted"
    else:
        reason = "acts_no_more" if before.has_stopped_acting() else "may_act"
    log_message(
        message_type="leader:acts",
        epoch=epoch,
        predecessor=before.row.node,
        predecessor_epoch=before.row.epoch,
        is_known_to_act_no_more=before.has_stopped_acting(),
        bound_left_s=left_s(until_s, now_s),
        reason=reason,
    )


def log_lost(epoch: int, to_node: str, orders: OrderTracker | None) -> None:
    """Tell that the row names this process no longer."""
    log_message(
        message_type="leader:lost",
        level="WARNING",
        epoch=epoch,
        to_node=to_node,
        **order_fields(orders),
    )


def log_resigned(epoch: int, is_written: bool, order_fields: Mapping[str, object]) -> None:
    """Tell that this process gave the leadership up.

    :param order_fields: of the moment from which it acted no more.
    """
    log_message(message_type="leader:resigned", epoch=epoch, is_written=is_written, **order_fields)


def order_fields(orders: OrderTracker | None) -> dict[str, object]:
    """Return the fields on orders that are open when a process leads no longer."""
    return {
        "orders_under_way": 0 if orders is None else orders.under_way(),
        "orders_unanswered": 0 if orders is None else orders.unanswered(),
    }
