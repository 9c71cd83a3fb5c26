"""What the scale run looks for in a view."""

from dataclasses import dataclass

from indigoworks.router.routing_view import RoutingView


@dataclass(frozen=True)
class ViewSummary:
    """Facts of one view.

    :ivar owned_ranges: ranges with an owner.
    :ivar owners: names of the back ends that own any range.
    """

    owned_ranges: int
    owners: frozenset[str]


def summarise(view: RoutingView) -> ViewSummary:
    """Return the facts of `view`."""
    owners = [each.owner for table in view.tables.values() for each in table if each.owner]
    return ViewSummary(len(owners), frozenset(owners))
