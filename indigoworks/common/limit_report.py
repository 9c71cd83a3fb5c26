"""What a server said of its limit."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LimitReport:
    """The newest word of a server on the requests that it takes from all gateways together.

    :ivar per_s: requests a second; None: it names no limit any more.
    :ivar age_s: time since it said so, to whichever gateway.
    """

    per_s: float | None
    age_s: float
