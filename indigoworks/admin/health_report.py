"""Health of a process."""

from dataclasses import dataclass


@dataclass(frozen=True)
class HealthReport:
    """Response to GET /health.

    :ivar is_serving: the process is not stopping and has what it needs to serve: a known leader at
        a controller, a view in force at a router.
    :ivar reason: why it does not, in one sentence; empty when it does.
    """

    is_serving: bool
    reason: str = ""
