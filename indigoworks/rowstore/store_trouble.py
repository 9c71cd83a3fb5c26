"""Trouble of the row store: a call that failed, was refused, or got a late response."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StoreTrouble:
    """A call that failed, was refused, or got a late response.

    :ivar at_s: clock reading when it was detected; of a late response, when it began to arrive.
    :ivar reported_s: clock reading when a relay reported it; None: a call of this process.
    """

    at_s: float
    reported_s: float | None = None
