"""Outcome of a caller's request, as reported to the caller."""

from enum import Enum


class Outcome(Enum):
    """Whether the request ran, as far as the router knows."""

    COMPLETED = "completed"
    """A back end ran the request, and its complete response is returned."""

    NOT_RUN = "not-run"
    """No back end ran the request, and none will."""

    UNKNOWN = "unknown"
    """A back end may have run the request, but there is no complete response."""
