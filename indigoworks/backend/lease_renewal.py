"""Request of a controller to a back end that renews its lease and sets its grants."""

from dataclasses import dataclass

from indigoworks.backend.granted_range import GrantedRange


@dataclass(frozen=True)
class LeaseRenewal:
    """Lease and grants of one run of one server.

    :ivar incarnation: the run of the server that the renewal is for; another run must refuse it.
    :ivar generation: generation of the control group.
    :ivar grants_version: log index of the grants. A server refuses a renewal whose
        (generation, grants_version) is older than the newest it has seen.
    :ivar valid_until_s: end of the lease, as a reading of the server's own monotonic clock. It is
        derived from a reading that the server sent, so a delayed renewal cannot extend it.
    :ivar ranges: all ranges granted now; None when they are unchanged since `grants_version`.
    """

    incarnation: str
    generation: int
    grants_version: int
    valid_until_s: float
    ranges: tuple[GrantedRange, ...] | None
