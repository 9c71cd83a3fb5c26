"""What became of a caller's request."""

from enum import Enum


class Outcome(Enum):
    """The three outcomes that a caller can tell apart."""

    COMPLETED = "completed"
    """A back end ran the request and its whole answer is passed on."""

    NOT_RUN = "not-run"
    """No back end ran the request, and none will."""

    UNKNOWN = "unknown"
    """A back end may have run the request; its answer is missing."""
