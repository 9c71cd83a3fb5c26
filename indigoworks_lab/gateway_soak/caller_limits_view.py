"""What callers know of the configuration."""

from dataclasses import dataclass, field


@dataclass
class CallerLimitsView:
    """Limits and routes of the newest configuration that the store has acknowledged.

    :ivar idle_timeout_s: callers rest up to four fifths of it, in seconds.
    :ivar max_body_bytes: bodies stay below it.
    :ivar steady_body_bytes: the smallest such limit of the configurations that may be in force.
    :ivar route_versions: versions that added a route, oldest first.
    """

    idle_timeout_s: float
    max_body_bytes: int
    steady_body_bytes: int
    route_versions: list[int] = field(default_factory=list)
