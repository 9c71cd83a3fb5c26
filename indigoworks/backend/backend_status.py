"""What a back end tells a controller."""

from dataclasses import dataclass

from indigoworks.backend.granted_range import GrantedRange


@dataclass(frozen=True)
class BackendStatus:
    """Answer of a back end to a status read or a renewal.

    :ivar clock_s: reading of the server's monotonic clock when it answered.
    :ivar generation, grants_version: newest grants it has taken.
    :ivar released: ranges asked to be released on which nothing runs any more.
    :ivar is_draining: the server was told by its operator to stop; it wants no new work.
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
