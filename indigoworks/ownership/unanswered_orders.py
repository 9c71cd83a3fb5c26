"""Counts of orders that servers left unanswered."""

from dataclasses import dataclass

from indigoworks.ownership.sent_order import SentOrder

REMEMBERED_S = 60.0
"""Counts are kept for this long after the newest order with the same kind, keys and token."""


@dataclass(slots=True)
class _Count:
    count: int
    first_sent_s: float
    last_sent_s: float


class UnansweredOrders:
    """Counts unanswered orders by kind, server, keys and token.

    A later answer removes none of them: the log is meant to show what a server did with an order
    that it applied late.
    """

    def __init__(self) -> None:
        self._counts: dict[tuple[str, str, int, int, int], _Count] = {}

    def add(self, order: SentOrder) -> None:
        """Count an order that was given up."""
        key = (order.kind, order.server_id, order.first, order.last, order.token)
        known = self._counts.setdefault(key, _Count(0, order.sent_s, order.sent_s))
        known.count += 1
        known.last_sent_s = order.sent_s

    def drop_old(self, now_s: float) -> None:
        """Remove counts of orders that were sent long ago."""
        self._counts = {
            key: each
            for key, each in self._counts.items()
            if now_s - each.last_sent_s < REMEMBERED_S
        }

    def count(self) -> int:
        """Return the number of orders, over all servers."""
        return sum(each.count for each in self._counts.values())

    def on_keys(self, kind: str, server_id: str, first: int, last: int) -> tuple[int, float | None]:
        """Return the number of orders of a kind on any of the keys, and the oldest sending time."""
        found = [
            each
            for (known_kind, server, order_first, order_last, _), each in self._counts.items()
            if (known_kind, server) == (kind, server_id)
            and order_first <= last
            and first <= order_last
        ]
        return (
            sum(each.count for each in found),
            min((each.first_sent_s for each in found), default=None),
        )
