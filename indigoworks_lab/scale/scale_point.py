"""One size of the scale run."""

from dataclasses import dataclass

SERVERS_PER_SERVICE = 64
"""Back ends of one service; a service's key space is cut into at most 4096 ranges."""

ROUTER_SHARE = 1 / 3
"""One router for two back ends."""


@dataclass(frozen=True)
class ScalePoint:
    """How many members a measurement has, and how much state they share.

    :ivar members: hollow routers and hollow back ends together.
    :ivar ranges_per_server: ranges for each back end.
    :ivar changes: settings changes sent.
    :ivar changes_per_s: rate of these changes.
    :ivar losses: back ends lost one after another.
    :ivar router_share: share of routers among the members.
    """

    members: int
    ranges_per_server: int = 16
    changes: int = 15
    changes_per_s: float = 1.0
    losses: int = 3
    router_share: float = ROUTER_SHARE

    @property
    def routers(self) -> int:
        """Number of hollow routers."""
        return max(1, round(self.members * self.router_share))

    @property
    def servers(self) -> int:
        """Number of hollow back ends."""
        return self.members - self.routers

    @property
    def ranges(self) -> int:
        """Number of ranges of all services."""
        return self.servers * self.ranges_per_server

    @property
    def label(self) -> str:
        """Short name for tables and files."""
        share = "" if self.router_share == ROUTER_SHARE else f"-s{self.router_share:g}"
        return f"m{self.members}-r{self.ranges_per_server}-c{self.changes_per_s:g}{share}"

    @property
    def is_usual(self) -> bool:
        """Tell whether only the number of members differs from the other usual points."""
        usual = ScalePoint(self.members)
        return (self.ranges_per_server, self.changes_per_s, self.router_share) == (
            usual.ranges_per_server,
            usual.changes_per_s,
            usual.router_share,
        )

    def servers_of_service(self) -> dict[str, int]:
        """Return the number of back ends of each service."""
        counts: dict[str, int] = {}
        for index in range(self.servers):
            service = service_name(index)
            counts[service] = counts.get(service, 0) + 1
        return counts


def service_name(server_index: int) -> str:
    """Return the service of a hollow back end."""
    return f"service-{server_index // SERVERS_PER_SERVICE:03d}"
