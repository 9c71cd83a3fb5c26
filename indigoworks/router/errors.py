"""Errors of the request path. Each names the HTTP status and the outcome that a caller gets."""

from dataclasses import dataclass
from typing import ClassVar

from indigoworks.common.errors import IndigoworksError
from indigoworks.router.outcome import Outcome


@dataclass(frozen=True)
class RouterError(IndigoworksError):
    """Base of the errors of the request path.

    :cvar status: HTTP status of the answer to the caller.
    :cvar outcome: NOT_RUN only where no back end ran the request.
    """

    kind: ClassVar[str] = "router"
    status: ClassVar[int] = 503
    outcome: ClassVar[Outcome] = Outcome.NOT_RUN


@dataclass(frozen=True)
class UnknownService(RouterError):
    """The settings tree has no such service."""

    kind: ClassVar[str] = "unknown_service"
    status: ClassVar[int] = 404


@dataclass(frozen=True)
class MissingKey(RouterError):
    """The request path has no key."""

    kind: ClassVar[str] = "missing_key"
    status: ClassVar[int] = 400


@dataclass(frozen=True)
class BadRequest(RouterError):
    """A header of the request cannot be read."""

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
    """The router's view of owners and settings is too old to act upon."""

    kind: ClassVar[str] = "view_expired"


@dataclass(frozen=True)
class RouterStopping(RouterError):
    """The router is being stopped and takes no new request."""

    kind: ClassVar[str] = "router_stopping"


@dataclass(frozen=True)
class NoOwner(RouterError):
    """No server owns the key at the moment."""

    kind: ClassVar[str] = "no_owner"


@dataclass(frozen=True)
class WrongOwner(RouterError):
    """The server refused the request unrun because it does not own the key."""

    kind: ClassVar[str] = "wrong_owner"


@dataclass(frozen=True)
class OwnerUnreachable(RouterError):
    """No connection to the owner could be made; nothing was sent."""

    kind: ClassVar[str] = "owner_unreachable"


@dataclass(frozen=True)
class DispatcherUnreachable(RouterError):
    """The dispatcher of the owner could not be reached or declined to dispatch."""

    kind: ClassVar[str] = "dispatcher_unreachable"


@dataclass(frozen=True)
class QueueFull(RouterError):
    """The group has as many requests waiting for the server as it may."""

    kind: ClassVar[str] = "queue_full"


@dataclass(frozen=True)
class WaitTooLong(RouterError):
    """The request would wait for the server longer than it may."""

    kind: ClassVar[str] = "wait_too_long"


@dataclass(frozen=True)
class ServerShedding(RouterError):
    """The server declined the request unrun because of its load."""

    kind: ClassVar[str] = "server_shedding"


@dataclass(frozen=True)
class DeadlinePassed(RouterError):
    """The deadline passed before the request was sent to a server."""

    kind: ClassVar[str] = "deadline_passed"


@dataclass(frozen=True)
class AnswerLost(RouterError):
    """The answer is missing or cut short; the request may have run."""

    kind: ClassVar[str] = "answer_lost"
    status: ClassVar[int] = 504
    outcome: ClassVar[Outcome] = Outcome.UNKNOWN


@dataclass(frozen=True)
class AlreadySent(RouterError):
    """A non-repeatable request of the same id was sent to a server before."""

    kind: ClassVar[str] = "already_sent"
    status: ClassVar[int] = 504
    outcome: ClassVar[Outcome] = Outcome.UNKNOWN


@dataclass(frozen=True)
class AnswerTooLarge(RouterError):
    """The request ran, but its answer exceeds what the system passes on."""

    kind: ClassVar[str] = "answer_too_large"
    status: ClassVar[int] = 504
    outcome: ClassVar[Outcome] = Outcome.UNKNOWN


@dataclass(frozen=True)
class RouterFault(RouterError):
    """The router failed on the request by a programming fault; the request may have run."""

    kind: ClassVar[str] = "router_fault"
    status: ClassVar[int] = 504
    outcome: ClassVar[Outcome] = Outcome.UNKNOWN
