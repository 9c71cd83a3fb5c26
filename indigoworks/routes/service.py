"""One service of the configuration."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Service:
    """A set of servers that handle the same requests.

    :ivar is_keyed: its servers own keys, and a request goes to the owner of its key.
    :ivar max_connections: connections that each server accepts in total.
    :ivar cold_s: seconds for which a server is slow after its start.
    :ivar cold_requests_per_s: requests a second that it can handle during `cold_s`; 0: unspecified.
    :ivar warm_up_s: seconds for which keys are slow at a new owner if there was no handover.
    """

    name: str
    is_keyed: bool
    max_connections: int
    warm_up_s: float
    health_path: str
    cold_s: float = 0.0
    cold_requests_per_s: float = 0.0
