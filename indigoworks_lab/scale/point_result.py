"""What one point gave."""

from dataclasses import asdict, dataclass, field
from statistics import fmean
from typing import Any

from indigoworks.controller.lease_timing import RENEWAL_INTERVAL_S
from indigoworks_lab.scale.scale_point import ScalePoint
from indigoworks_lab.scale.usage_window import UsageWindow

KEPT_SHARE = 0.9
"""A leader that sends a smaller share of its renewals in time is past its limit."""


@dataclass
class PointResult:
    """Figures of one point; a step that was not reached keeps its empty value.

    :ivar registered: back ends that were registered in time.
    :ivar registration_s: from the listing of the back ends until all are registered.
    :ivar first_owners_s: from the first settings tree until every range has an owner.
    :ivar snapshot_bytes: size of a whole view.
    :ivar routers_return_s: from the start of all routers until each has a whole view in force.
    :ivar routers_return_bytes: bytes that one router received until then.
    :ivar routers_return_failures: polls that failed until then, of all routers.
    :ivar resting: windows without changes.
    :ivar changing: a window with settings changes.
    :ivar settings_s: from each change's request until in force at the last router.
    :ivar settings_accepted_s: from each change's request until its acceptance.
    :ivar refused_changes: changes that were not accepted.
    :ivar loss_s: from the end of a back end until the last router sees new owners for its ranges.
    :ivar zone_loss_s: the same for a third of all back ends at once.
    :ivar early_takeovers: killed back ends whose ranges had other owners before their leases ended;
        any is a fault of exclusive ownership.
    :ivar platform_cores: processor time of the platform stand-in per second, at rest.
    :ivar stopped: why the point ended early; empty where it did not.
    """

    point: ScalePoint
    registered: int = 0
    registration_s: float = 0.0
    first_owners_s: float = 0.0
    snapshot_bytes: int = 0
    routers_return_s: float = 0.0
    routers_return_bytes: float = 0.0
    routers_return_failures: int = 0
    resting: list[UsageWindow] = field(default_factory=list)
    changing: UsageWindow | None = None
    settings_s: list[float] = field(default_factory=list)
    settings_accepted_s: list[float] = field(default_factory=list)
    refused_changes: int = 0
    loss_s: list[float] = field(default_factory=list)
    zone_loss_s: float = 0.0
    early_takeovers: int = 0
    platform_cores: float = 0.0
    stopped: str = ""

    @property
    def keeps_up(self) -> bool:
        """Tell whether the leader renews about as often as it should."""
        rates = [window.server_messages for window in self.resting]
        return bool(rates) and fmean(rates) * RENEWAL_INTERVAL_S >= KEPT_SHARE

    def to_json(self) -> dict[str, Any]:
        """Return the figures by name, with the sizes of the point."""
        content = asdict(self)
        content["routers"] = self.point.routers
        content["servers"] = self.point.servers
        content["ranges"] = self.point.ranges
        return content
