"""One service of the configuration."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Service:
    """Servers that do the same work.

    :ivar is_keyed: its servers own keys, and a request goes to the owner of its key.
    :ivar max_connections: connections that each server accepts from all callers together.
    :ivar cold_s: seconds for which a server is slow after it has started.
    :ivar cold_requests_per_s: requests a second that it bears meanwhile; 0: not named.
    :ivar warm_up_s: seconds for which keys stay slow that came without a handover.
    """

    name: str
    is_keyed: bool
    max_connections: int
    warm_up_s: float
    health_path: str
    cold_s: float = 0.0
    cold_requests_per_s: float = 0.0
