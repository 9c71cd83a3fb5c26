"""What a final response says about the request."""

from enum import Enum


class ResponseOutcome(Enum):
    """Outcomes of a request at this gateway."""

    ANSWERED = "answered"
    """A server ran it; the response is the server's."""
    REFUSED = "refused"
    """It has not run and never will."""
    LOST = "lost"
    """It may have run."""
    UNROUTED = "unrouted"
    """The configuration does not allow it."""
