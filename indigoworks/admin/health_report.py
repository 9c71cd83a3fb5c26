"""Health of a process."""

from dataclasses import dataclass


@dataclass(frozen=True)
class HealthReport:
    """Response to GET /health.

    :ivar is_serving: the process accepts requests.
    :ivar reason: why it does not, in one sentence; empty when it does.
    """

    is_serving: bool
    reason: str = ""
