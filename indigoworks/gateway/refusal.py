"""Refusals of requests: the reason, and when to retry."""

from dataclasses import dataclass
from enum import Enum


class RefusalReason(Enum):
    """Reasons of a refusal; the caller is told that the request has not run and never will."""

    NO_CONFIGURATION = "no_configuration"
    CONFIGURATION_BEHIND = "configuration_behind"
    NO_SERVER = "no_server"
    NO_OWNER = "no_owner"
    OWNER_UNREACHABLE = "owner_unreachable"
    OVERLOAD = "overload"
    SERVER_REFUSED = "server_refused"
    NOT_SENT = "not_sent"
    NO_TIME = "no_time"
    SERVER_RESTS = "server_rests"
    """Each server that could run it asked for a rest: no requests for a while."""
    SERVER_LIMITED = "server_limited"
    """Each server that could run it has a rate limit."""
    SERVER_FAILS = "server_fails"
    """The owner of its key is ejected: it serves no request."""
    NO_MEMORY = "no_memory"
    """The process has no room for its body."""
    SUSPECT = "suspect"
    """A server crashed under an attempt of it, and another attempt is in flight or waiting."""
    STOPPING = "stopping"
    """The process stops and sends nothing more; other gateways serve the request."""
    QUARANTINED = "quarantined"
    """Several servers crashed under it."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """A refusal, the seconds after which a retry may succeed, and the data behind the decision.

    :ivar server_id: the server that the request would have gone to; empty if any of several.
    :ivar in_flight: requests in flight at the candidate servers, from all gateways.
    :ivar expected_s: seconds until a response was expected.
    """

    reason: RefusalReason
    retry_after_s: float
    server_id: str = ""
    in_flight: int = 0
    expected_s: float = 0.0
