"""Errors of the request path, each with the HTTP status and outcome reported to the caller."""

from dataclasses import dataclass
from typing import ClassVar

from indigoworks.common.errors import IndigoworksError
from indigoworks.router.outcome import Outcome


@dataclass(frozen=True)
class RouterError(IndigoworksError):
    """Base class of the errors of the request path.

    :cvar status: HTTP status returned to the caller.
    :cvar outcome: NOT_RUN only if no back end ran the request.
    """

    kind: ClassVar[str] = "router"
    status: ClassVar[int] = 503
    outcome: ClassVar[Outcome] = Outcome.NOT_RUN


@dataclass(frozen=True)
class UnknownService(RouterError):
    """The service is not in the settings."""

    kind: ClassVar[str] = "unknown_service"
    status: ClassVar[int] = 404


@dataclass(frozen=True)
class MissingKey(RouterError):
    """The request path has no key."""

    kind: ClassVar[str] = "missing_key"
    status: ClassVar[int] = 400


@dataclass(frozen=True)
class BadRequest(RouterError):
    """The request has a malformed header or an unsupported method."""

    kind: ClassVar[str] = "bad_request"
    status: ClassVar[int] = 400


@dataclass(frozen=True)
class BodyTooLarge(RouterError):
    """The body is larger than the service allows."""

    kind: ClassVar[str] = "body_too_large"
    status: ClassVar[int] = 413


@dataclass(frozen=True)
class IdempotencyKeyReused(RouterError):
    """The idempotency key was used before for another request."""

    kind: ClassVar[str] = "idempotency_key_reused"
    status: ClassVar[int] = 422


@dataclass(frozen=True)
class ViewExpired(RouterError):
    """The lease of the router's view of owners and settings has expired."""

    kind: ClassVar[str] = "view_expired"


@dataclass(frozen=True)
class RouterStopping(RouterError):
    """The router is stopping and accepts no new requests."""

    kind: ClassVar[str] = "router_stopping"


@dataclass(frozen=True)
class NoOwner(RouterError):
    """No live server owns the key."""

    kind: ClassVar[str] = "no_owner"


@dataclass(frozen=True)
class WrongOwner(RouterError):
    """The server refused to run the request because it does not own the key."""

    kind: ClassVar[str] = "wrong_owner"


@dataclass(frozen=True)
class OwnerUnreachable(RouterError):
    """Connecting to the owner failed; nothing was sent."""

    kind: ClassVar[str] = "owner_unreachable"


@dataclass(frozen=True)
class DispatcherUnreachable(RouterError):
    """The router that dispatches to the owner was unreachable or declined to dispatch."""

    kind: ClassVar[str] = "dispatcher_unreachable"


@dataclass(frozen=True)
class QueueFull(RouterError):
    """The group's queue for the server is full."""

    kind: ClassVar[str] = "queue_full"


@dataclass(frozen=True)
class WaitTooLong(RouterError):
    """The request would have to wait too long for a slot of the server."""

    kind: ClassVar[str] = "wait_too_long"


@dataclass(frozen=True)
class ServerShedding(RouterError):
    """The server refused to run the request because it is overloaded."""

    kind: ClassVar[str] = "server_shedding"


@dataclass(frozen=True)
class DeadlinePassed(RouterError):
    """The deadline passed before the request was sent to a server."""

    kind: ClassVar[str] = "deadline_passed"


@dataclass(frozen=True)
class AnswerLost(RouterError):
    """The response was lost or truncated; the request may have run."""

    kind: ClassVar[str] = "answer_lost"
    status: ClassVar[int] = 504
    outcome: ClassVar[Outcome] = Outcome.UNKNOWN


@dataclass(frozen=True)
class AlreadySent(RouterError):
    """A non-repeatable request with the same id was already sent to a server."""

    kind: ClassVar[str] = "already_sent"
    status: ClassVar[int] = 504
    outcome: ClassVar[Outcome] = Outcome.UNKNOWN


@dataclass(frozen=True)
class AnswerTooLarge(RouterError):
    """The request ran, but its response exceeds the size limit."""

    kind: ClassVar[str] = "answer_too_large"
    status: ClassVar[int] = 504
    outcome: ClassVar[Outcome] = Outcome.UNKNOWN


@dataclass(frozen=True)
class RouterFault(RouterError):
    """An internal error of the router; the request may have run."""

    kind: ClassVar[str] = "router_fault"
    status: ClassVar[int] = 504
    outcome: ClassVar[Outcome] = Outcome.UNKNOWN
