"""What a caller was told about its request."""

from enum import Enum


class CallOutcome(Enum):
    """The three outcomes of a request."""

    COMPLETED = "completed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
