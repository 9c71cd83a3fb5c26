"""Log lines on the leadership of this process."""

from collections.abc import Mapping

from eliot import log_message
from result import Err, Result

from indigoworks.ownership.hold_bounds import HoldBounds
from indigoworks.ownership.leader_row import LeaderRow
from indigoworks.ownership.order_tracker import OrderTracker
from indigoworks.ownership.predecessor_bound import PredecessorBound
from indigoworks.rowstore.errors import StoreError
from indigoworks.rowstore.store_version import StoreVersion

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


def log_challenge(
    epoch: int, reason: str, silence_s: float, result: Result[StoreVersion, StoreError]
) -> None:
    """Log that this process has taken over the leadership, or that the store did not let it.

    :param silence_s: how long the leader before it was not heard.
    :param result: of writing the leader row.
    """
    if isinstance(result, Err):
        error = result.unwrap_err().kind
        log_message(message_type="leader:challenge_failed", epoch=epoch, reason=reason, error=error)
        return
    log_message(
        message_type="leader:taken",
        epoch=epoch,
        reason=reason,
        silence_s=round(min(silence_s, MAX_LOGGED_S), 3),
    )


def log_lost(epoch: int, to_node: str, orders: OrderTracker | None) -> None:
    """Log that the leader row no longer names this process."""
    log_message(
        message_type="leader:lost",
        level="WARNING",
        epoch=epoch,
        to_node=to_node,
        **order_fields(orders),
    )


def log_resigned(
    epoch: int, reason: str, is_written: bool, order_fields: Mapping[str, object]
) -> None:
    """Log that this process gave up the leadership.

    :param reason: the process stops, servers are out of its reach, or the rows that it reads do not
        explain why its writes fail.
    :param order_fields: as of the time at which it stopped acting.
    """
    log_message(
        message_type="leader:resigned",
        epoch=epoch,
        reason=reason,
        is_written=is_written,
        **order_fields,
    )


def order_fields(orders: OrderTracker | None) -> dict[str, object]:
    """Return the log fields on orders that are open when a process stops leading."""
    return {
        "orders_under_way": 0 if orders is None else orders.in_flight_count(),
        "orders_unanswered": 0 if orders is None else orders.unanswered_count(),
    }
