"""Settings trees of the scale run."""

from typing import Any

from indigoworks_lab.scale.scale_point import ScalePoint

GROUPS = 8
MOVES_PER_MINUTE = 600


def scale_tree(point: ScalePoint, number: int) -> dict[str, Any]:
    """Return a tree with all services of the point; trees of different numbers differ."""
    services = {
        name: {
            "placement": {
                "initial_ranges": servers * point.ranges_per_server,
                "move_budget_per_minute": MOVES_PER_MINUTE,
            }
        }
        for name, servers in point.servers_of_service().items()
    }
    return {
        "defaults": {"request_timeout_s": 5.0 + number},
        "groups": {f"group-{each}": {"weight": each + 1} for each in range(GROUPS)},
        "services": services,
    }
