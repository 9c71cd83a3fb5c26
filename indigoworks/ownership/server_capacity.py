"""Capacity of a server."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServerCapacity:
    """Slots of a server, and its requests per second while all slots are busy.

    :ivar limit_per_s: requests per second that gateways send it at most; infinity: no limit.
    """

    server_id: str
    slots: int
    requests_per_s: float
    limit_per_s: float = float("inf")

    @property
    def is_limited(self) -> bool:
        """Return whether the limit is below what the slots allow."""
        return self.limit_per_s < self.requests_per_s

    @property
    def usable_per_s(self) -> float:
        """Return the requests per second that the slots and the limit allow."""
        return min(self.requests_per_s, self.limit_per_s)
