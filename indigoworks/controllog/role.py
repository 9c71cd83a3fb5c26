"""Role of a node in its control group."""

from enum import Enum


class Role(Enum):
    """Current role of a node."""

    FOLLOWER = "follower"
    LEADER = "leader"
