"""Status that a back end reports to a controller."""

from dataclasses import dataclass

from indigoworks.backend.granted_range import GrantedRange


@dataclass(frozen=True)
class BackendStatus:
    """Response of a back end to a status read or a lease renewal.

    :ivar clock_s: reading of the server's monotonic clock when it responded.
    :ivar generation, grants_version: newest grants that it has applied.
    :ivar released: ranges to be released on which no request runs any more.
    :ivar is_draining: the server's operator is stopping it; it wants no new requests.
    """

    name: str
    incarnation: str
    service: str
    zone: str
    slots: int
    connections: int
    clock_s: float
    generation: int
    grants_version: int
    released: tuple[GrantedRange, ...] = ()
    is_draining: bool = False
