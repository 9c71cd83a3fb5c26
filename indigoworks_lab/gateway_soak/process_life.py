"""One process of a gateway in a soak."""

from dataclasses import dataclass


@dataclass
class ProcessLife:
    """From its start to its end; times are of the event loop, in seconds; None: has not been.

    :ivar number: counts the processes of this gateway, from 1.
    :ivar stopped_s: when SIGTERM was sent.
    :ivar killed_s: when SIGKILL was sent.
    :ivar grace_s: time from SIGTERM to SIGKILL, in seconds.
    :ivar exit_code: None while it runs; negative for the signal that ended it.
    """

    gateway: str
    number: int
    started_s: float
    grace_s: float
    stopped_s: float | None = None
    killed_s: float | None = None
    ended_s: float | None = None
    exit_code: int | None = None

    @property
    def name(self) -> str:
        """Return gateway and number."""
        return f"{self.gateway}.{self.number}"
