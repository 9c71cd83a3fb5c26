"""A server's report of its rate limit."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LimitReport:
    """A server's newest report of the rate that it accepts from all gateways together.

    :ivar per_s: requests a second; None: the server has withdrawn its limit.
    :ivar age_s: time since the report, to any gateway.
    """

    per_s: float | None
    age_s: float
