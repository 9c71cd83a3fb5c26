"""An installation as the bench models it."""

from dataclasses import dataclass

from indigoworks_lab.bench.installation.group_shape import GroupShape
from indigoworks_lab.bench.installation.service_shape import ServiceShape

ZONES = ("zone-1", "zone-2", "zone-3")


@dataclass(frozen=True)
class Installation:
    """Sizes, delays and groups.

    :ivar tree_file: settings tree, relative to the repository.
    :ivar within_zone_s, between_zones_s, to_clients_s: one-way delays of the network.
    :ivar routers, controllers: processes of the system, spread over ZONES.
    :ivar hot_service: the service whose keys heat up.
    :ivar flooding_group: the group that sends ten times its share in a flood.
    :ivar keys_per_service: keys that callers use, drawn with a Zipf distribution.
    :ivar zipf_exponent: skew of the keys.
    """

    name: str
    tree_file: str
    within_zone_s: float
    between_zones_s: float
    to_clients_s: float
    services: tuple[ServiceShape, ...]
    groups: tuple[GroupShape, ...]
    hot_service: str
    flooding_group: str
    routers: int = 6
    controllers: int = 3
    keys_per_service: int = 10_000
    zipf_exponent: float = 0.8

    def service(self, name: str) -> ServiceShape:
        """Return the service called `name`."""
        return next(each for each in self.services if each.name == name)

    def share_of(self, group: str) -> float:
        """Return the share of the capacity that the weights give a group."""
        total = sum(each.weight for each in self.groups)
        return next(each.weight for each in self.groups if each.name == group) / total
