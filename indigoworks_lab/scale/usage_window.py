"""Cost of one stretch of time."""

from dataclasses import dataclass


@dataclass(frozen=True)
class UsageWindow:
    """Rates over one window.

    :ivar seconds: its length.
    :ivar leader_cores: processor time of the leader per second.
    :ivar follower_cores: mean of the followers.
    :ivar leader_bytes: resident memory of the leader at the end, in bytes.
    :ivar follower_bytes: mean of the followers.
    :ivar router_cores: processor time of the hollow router processes per router and second.
    :ivar router_messages: answered polls per router and second.
    :ivar router_bytes: bytes per router and second, both directions.
    :ivar server_messages: lease requests answered per back end and second.
    :ivar server_bytes: bytes per back end and second, both directions.
    :ivar failed_polls: polls without a usable answer, of all routers.
    """

    seconds: float
    leader_cores: float
    follower_cores: float
    leader_bytes: float
    follower_bytes: float
    router_cores: float
    router_messages: float
    router_bytes: float
    server_messages: float
    server_bytes: float
    failed_polls: int
