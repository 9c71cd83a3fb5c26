"""Paths from a caller to a back end whose costs are compared."""

from enum import StrEnum


class HopPath(StrEnum):
    """Each path has one hop more than the one before."""

    DIRECT = "direct"
    """Caller to back end, under a grant of the load tool."""

    DISPATCHER = "dispatcher"
    """Caller to the router that dispatches to the back end."""

    FORWARDED = "forwarded"
    """Caller to another router, which forwards to the dispatcher."""
