"""What the scale run looks for in a view."""

from dataclasses import dataclass

from indigoworks.router.routing_view import RoutingView


@dataclass(frozen=True)
class ViewSummary:
    """Facts of one view.

    :ivar owned_ranges: ranges with an owner.
    :ivar lost_servers: back ends whose lease lapsed; all their ranges have other owners by then,
        since the leader commits the new owners before the loss.
    """

    owned_ranges: int
    lost_servers: frozenset[str]


def summarise(view: RoutingView) -> ViewSummary:
    """Return the facts of `view`."""
    owned = sum(1 for table in view.tables.values() for each in table if each.owner)
    lost = frozenset(each.name for each in view.servers.values() if each.is_lost)
    return ViewSummary(owned, lost)
