"""One service of the configuration."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Service:
    """Servers that do the same work.

    :ivar is_keyed: its servers own keys, and a request goes to the owner of its key.
    :ivar max_connections: connections that each server accepts from all callers together.
    :ivar warm_up_s: seconds for which keys stay slow that came without a handover.
    """

    name: str
    is_keyed: bool
    max_connections: int
    warm_up_s: float
    health_path: str
