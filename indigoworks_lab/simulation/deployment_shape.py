"""Size of a simulated deployment."""

from dataclasses import dataclass

ZONES = ("zone-1", "zone-2", "zone-3")


@dataclass(frozen=True)
class DeploymentShape:
    """How many processes of each kind there are; they are spread over ZONES.

    :ivar servers: number of back ends, by service.
    :ivar keys_per_service: keys that callers use, per service.
    :ivar initial_ranges: ranges that each service's key space is cut into.
    """

    controllers: int = 3
    routers: int = 3
    servers: tuple[tuple[str, int], ...] = (("stock", 3), ("booking", 3))
    keys_per_service: int = 4
    initial_ranges: int = 4
