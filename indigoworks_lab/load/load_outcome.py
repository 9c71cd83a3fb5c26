"""What became of a request of a load."""

from enum import StrEnum


class LoadOutcome(StrEnum):
    """Outcomes as the caller sees them."""

    COMPLETED = "completed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    UNREACHABLE = "unreachable"
    """No connection to the first hop."""

    REFUSED = "refused"
    """The request itself was refused (4xx)."""

    WRONG_ANSWER = "wrong_answer"
    """The answer is not whole or belongs to another request: never allowed."""

    SKIPPED = "skipped"
    """Not sent, because too many requests were under way."""
