"""Load of servers, computed from the requests in a window."""

from collections.abc import Sequence

from indigoworks.ownership.load_window import LoadWindow
from indigoworks.ownership.ownership_table import OwnershipTable
from indigoworks.ownership.server_capacity import ServerCapacity


def requests_by_server(
    table: OwnershipTable, window: LoadWindow, servers: Sequence[ServerCapacity]
) -> dict[str, float]:
    """Return for each server the requests in a window for the keys that it owns."""
    return {
        server.server_id: sum(
            window.count_between(each.first, each.last)
            for each in table.ranges_of(server.server_id)
        )
        for server in servers
    }


def utilisation(requests: float, server: ServerCapacity, window: LoadWindow) -> float:
    """Return the share of a server's slots, or of its limit, that `requests` in the window use."""
    return requests / window.covered_s / server.usable_per_s
