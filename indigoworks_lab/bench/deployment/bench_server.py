"""A back end of the bench."""

from random import Random

from indigoworks.common.address import Address
from indigoworks.common.clock import Clock
from indigoworks_lab.backend.stand_in_faults import StandInFaults
from indigoworks_lab.backend.stand_in_identity import StandInIdentity
from indigoworks_lab.backend.stand_in_profile import StandInProfile
from indigoworks_lab.backend.stand_in_server import StandInServer
from indigoworks_lab.bench.installation.service_shape import SERVICE_SIGMA, ServiceShape

PlaceRange = tuple[int, int]
"""First and last place of a range."""


class BenchServer(StandInServer):
    """A stand-in on a simulated host, whose machine can be lost.

    :ivar lost_at_s: when the machine was lost; None while it is there.
    :ivar open_connections: connections that routers hold to it.
    """

    def __init__(
        self,
        identity: StandInIdentity,
        shape: ServiceShape,
        address: Address,
        clock: Clock,
        random: Random,
    ) -> None:
        profile = StandInProfile(
            slots=shape.slots,
            connections=shape.connections,
            service_median_s=shape.service_median_s,
            service_sigma=SERVICE_SIGMA,
        )
        super().__init__(identity, profile, clock, random)
        self.address = address
        self.lost_at_s: float | None = None
        self.open_connections = 0

    def ignore_ownership(self) -> None:
        """Serve every key, as the servers of an installation without control do."""
        self.faults = StandInFaults(forgets_token_check=True, forgets_lease_check=True)

    def lose(self) -> None:
        """Lose the machine: from now on nobody hears from it."""
        self.lost_at_s = self._clock.now()

    @property
    def is_lost(self) -> bool:
        """Tell whether the machine is lost."""
        return self.lost_at_s is not None

    def served_ranges(self) -> tuple[PlaceRange, ...]:
        """Return the ranges whose new requests the server runs at this moment."""
        if self.is_lost or not self._grants.has_lease(self._clock.now()):
            return ()
        return tuple(
            (each.start, each.end) for each in self._grants.ranges if not each.is_releasing
        )
