"""When routers came to know something."""

from dataclasses import dataclass


@dataclass
class Milestone:
    """Routers that know a fact, and when the newest of them learnt it.

    :ivar last_s: reading of the machine's monotonic clock, which all processes share.
    """

    routers: int = 0
    last_s: float = 0.0

    def reach(self, now_s: float) -> None:
        """Count one more router."""
        self.routers += 1
        self.last_s = max(self.last_s, now_s)
