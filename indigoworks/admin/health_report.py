"""Whether a process serves."""

from dataclasses import dataclass


@dataclass(frozen=True)
class HealthReport:
    """Answer of GET /health.

    :ivar is_serving: the process takes requests.
    :ivar reason: why it does not, one sentence; empty when it serves.
    """

    is_serving: bool
    reason: str = ""
