"""Lease and fenced grants as a stand-in back end holds them."""

from result import Err, Ok, Result

from indigoworks.backend.errors import BackendRefused
from indigoworks.backend.granted_range import GrantedRange
from indigoworks.backend.lease_renewal import LeaseRenewal

NEVER_S = float("-inf")


class GrantBook:
    """Takes renewals and answers who may run what. Times are the server's monotonic clock."""

    def __init__(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self._valid_until_s = NEVER_S
        self._ranges: tuple[GrantedRange, ...] = ()
        self.generation = 0
        self.grants_version = 0

    @property
    def valid_until_s(self) -> float:
        """Reading of the server's clock at which the lease lapses."""
        return self._valid_until_s

    @property
    def ranges(self) -> tuple[GrantedRange, ...]:
        """The ranges granted now, releasing ones included."""
        return self._ranges

    def renew(self, renewal: LeaseRenewal) -> Result[None, BackendRefused]:
        """Take a renewal, or refuse it and change nothing."""
        if renewal.incarnation != self._incarnation:
            return Err(_refused("The renewal is for another incarnation."))
        held = (self.generation, self.grants_version)
        offered = (renewal.generation, renewal.grants_version)
        if offered < held:
            return Err(_refused(f"The grants {offered} are older than {held}."))
        if renewal.ranges is None and offered != held:
            # To lengthen the lease here would extend grants that may be gone at that version.
            return Err(_refused(f"The grants of {offered} never arrived; {held} are held."))
        if renewal.ranges is not None:
            self._ranges = renewal.ranges
        self.generation, self.grants_version = offered
        # The end of the lease comes from a reading of this server's clock, so a late or repeated
        # renewal says an earlier end and changes nothing.
        self._valid_until_s = max(self._valid_until_s, renewal.valid_until_s)
        return Ok(None)

    def has_lease(self, now_s: float) -> bool:
        """Tell whether the lease is valid at `now_s`."""
        return now_s < self._valid_until_s

    def find(self, place: int) -> GrantedRange | None:
        """Return the granted range that holds `place`, or None."""
        for granted in self._ranges:
            if granted.start <= place <= granted.end:
                return granted
        return None


def _refused(message: str) -> BackendRefused:
    return BackendRefused(message, "Read the server's status and renew with all its newest grants.")
