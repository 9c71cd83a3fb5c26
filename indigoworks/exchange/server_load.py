"""Load that one gateway puts on one server."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Requests in flight from one gateway and the time one takes as it measured it; 0: unknown."""

    server_id: str
    in_flight: int
    service_s: float
