"""Why a request is refused, and when to come back."""

from dataclasses import dataclass
from enum import Enum


class RefusalReason(Enum):
    """Causes of a refusal; the request has not run and never will."""

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
    """The server that it is for, or each that may run it, asked for no request for a while."""
    SERVER_LIMITED = "server_limited"
    """The server that it is for, or each that may run it, takes only so many requests a second."""
    SUSPECT = "suspect"
    """A server ended under a try of it, and another try is under way or about to be."""
    QUARANTINED = "quarantined"
    """Servers ended under it, one after the other."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """A refusal with the seconds after which a repeat may succeed, and what decided it.

    :ivar server_id: the server that the request would have gone to; empty: none in particular.
    :ivar in_flight: requests in flight there, from all gateways.
    :ivar expected_s: seconds until an answer was expected.
    """

    reason: RefusalReason
    retry_after_s: float
    server_id: str = ""
    in_flight: int = 0
    expected_s: float = 0.0
