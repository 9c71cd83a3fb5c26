"""Progress of an accepted settings change."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ChangeProgress:
    """Number of routers that have an accepted change's version, or a later one, in force.

    :ivar routers_total: routers whose view lease may be unexpired.
    :ivar is_everywhere: no router can serve under an older version any more.
    """

    change_id: str
    version: int
    routers_total: int
    routers_in_force: int
    is_everywhere: bool
