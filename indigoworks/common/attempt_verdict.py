"""What one attempt of a request says about its server."""

from enum import Enum


class AttemptVerdict(Enum):
    """Verdicts; the values are those on the wire."""

    NEUTRAL = 0
    """Nothing: it was not sent, not run, answered 4xx, or it ended for a reason of the caller."""
    BROKEN = 1
    """The connection broke off, or no answer came: a fault, or a sign of overload."""
    ERROR = 2
    """The server's own failure (5xx), which healthy servers answer now and then."""
    INVALID = 3
    """Bytes that are no valid response, or a success without the server's signature."""
    GOOD = 4
    """A valid response to a request that ran."""

    @property
    def is_fault(self) -> bool:
        """Return whether it counts against the server."""
        return self in FAULTS


FAULTS = (AttemptVerdict.BROKEN, AttemptVerdict.ERROR, AttemptVerdict.INVALID)
