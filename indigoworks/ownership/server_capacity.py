"""What a server can do."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServerCapacity:
    """Slots of a server, and its requests a second while all of them are busy.

    :ivar limit_per_s: requests a second that are passed on to it; infinity: it names no limit.
    """

    server_id: str
    slots: int
    requests_per_s: float
    limit_per_s: float = float("inf")

    @property
    def is_limited(self) -> bool:
        """Tell whether the server can do more than it takes."""
        return self.limit_per_s < self.requests_per_s

    @property
    def usable_per_s(self) -> float:
        """Return the requests a second that it takes."""
        return min(self.requests_per_s, self.limit_per_s)
