"""What the hollow routers of all processes report together."""

from dataclasses import dataclass, field

from indigoworks_lab.scale.milestone import Milestone
from indigoworks_lab.scale.traffic_count import TrafficCount


@dataclass
class RoutersState:
    """Counts and milestones.

    :ivar in_force: routers whose view lease is valid.
    :ivar least_owned_ranges: owned ranges in the view of the router that knows fewest.
    """

    in_force: int = 0
    least_owned_ranges: int = 0
    traffic: TrafficCount = field(default_factory=TrafficCount)
    milestones: dict[str, Milestone] = field(default_factory=dict)
