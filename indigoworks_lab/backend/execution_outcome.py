"""What became of a request inside a stand-in back end."""

from enum import StrEnum


class ExecutionOutcome(StrEnum):
    """Only APPLIED requests ran; all others changed nothing and read nothing."""

    APPLIED = "applied"
    FENCED = "fenced"
    """Refused: the server does not own the key under the token, or its lease has lapsed."""

    SHED = "shed"
    """Refused for load: the queue was full."""

    EXPIRED = "expired"
    """The deadline passed before a slot was free."""

    ENDED_SERVER = "ended_server"
    """The process ended as it began to run it."""

    CANCELLED = "cancelled"
    """The sender went away before the request got a slot."""
