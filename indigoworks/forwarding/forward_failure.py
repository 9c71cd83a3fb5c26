"""Forwarding attempts that brought no reply."""

from enum import Enum


class ForwardFailure(Enum):
    """Ways in which an attempt ends without a reply."""

    NOT_SENT = "not_sent"
    """The request was not sent whole, so that the receiver cannot have acted on it."""
    NO_REPLY = "no_reply"
    """It was sent whole: it may have run."""
