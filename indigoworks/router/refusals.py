"""Constructors of the errors of the request path, with messages and retry delays."""

from random import Random

from indigoworks.router.errors import (
    AlreadySent,
    AnswerLost,
    BodyTooLarge,
    DeadlinePassed,
    DispatcherUnreachable,
    IdempotencyKeyReused,
    MissingKey,
    NoOwner,
    OwnerUnreachable,
    QueueFull,
    RouterStopping,
    ServerShedding,
    UnknownService,
    ViewExpired,
    WaitTooLong,
    WrongOwner,
)

MIN_RETRY_AFTER_S = 0.1
"""Lower bound of the retry delays that are derived from a wait."""

RETRY_JITTER = 0.5
"""Maximum jitter as a share of the delay, so that callers do not retry simultaneously."""

REASSIGNMENT_S = 1.0
"""Time within which a key is usually reassigned, or a router's view renewed."""

STOPPING_RETRY_AFTER_S = 0.2
"""Retry-After of a stopping router: the request can be repeated at another one."""


def jittered_retry_after_s(wait_s: float, random: Random) -> float:
    """Return `wait_s`, at least MIN_RETRY_AFTER_S, plus random jitter of up to half of it."""
    shortest_s = max(MIN_RETRY_AFTER_S, wait_s)
    return shortest_s * (1.0 + RETRY_JITTER * random.random())


def unknown_service(service: str) -> UnknownService:
    """Return the error for a service that is not in the settings."""
    return UnknownService(
        f"There is no service {service!r}.",
        "Check the request path /v1/SERVICE/KEY against the services of the settings tree.",
    )


def missing_key() -> MissingKey:
    """Return the error for a path without a key."""
    return MissingKey("The request path has no key.", "Use the path /v1/SERVICE/KEY.")


def body_too_large(size_bytes: int, limit_bytes: int) -> BodyTooLarge:
    """Return the error for a body over the service's limit."""
    return BodyTooLarge(
        f"The body has {size_bytes} bytes or more; the limit is {limit_bytes}.",
        "Send a smaller body, or raise max_body_bytes in the settings tree.",
    )


def idempotency_key_reused() -> IdempotencyKeyReused:
    """Return the error for an idempotency key that was used for a different request."""
    return IdempotencyKeyReused(
        "The idempotency key was used before with another method, path or body.",
        "Give every new request a new idempotency key.",
    )


def view_expired() -> ViewExpired:
    """Return the error for a router whose view lease has expired."""
    return ViewExpired(
        "This router has lost contact with the controllers, and its routing data has expired.",
        "Repeat the request at another router, or here after the time given.",
        REASSIGNMENT_S,
    )


def router_stopping() -> RouterStopping:
    """Return the error for a router that is stopping."""
    return RouterStopping(
        "This router is being stopped.",
        "Repeat the request at another router.",
        STOPPING_RETRY_AFTER_S,
    )


def no_owner(service: str, retry_after_s: float) -> NoOwner:
    """Return the error for a key that currently has no owner."""
    return NoOwner(
        f"No server of {service} currently owns the key.",
        "Repeat the request after the time given.",
        retry_after_s,
    )


def wrong_owner(server_name: str) -> WrongOwner:
    """Return the error for a server that does not own the key."""
    return WrongOwner(
        f"Server {server_name} does not own the key any more.",
        "Repeat the request after the time given.",
        MIN_RETRY_AFTER_S,
    )


def owner_unreachable(server_name: str, retry_after_s: float) -> OwnerUnreachable:
    """Return the error for a failed connection to the owner."""
    return OwnerUnreachable(
        f"Server {server_name} cannot be reached.",
        "Repeat the request after the time given.",
        retry_after_s,
    )


def dispatcher_unreachable(router_name: str, reason: str) -> DispatcherUnreachable:
    """Return the error for a failed forward to another router."""
    return DispatcherUnreachable(
        f"Router {router_name} did not accept the request: {reason}",
        "Repeat the request after the time given.",
        MIN_RETRY_AFTER_S,
    )


def queue_full(group: str, server_name: str, retry_after_s: float) -> QueueFull:
    """Return the error for a group whose queue is full."""
    return QueueFull(
        f"The queue of group {group} at server {server_name} is full.",
        "Repeat the request after the time given, or raise max_queue_length.",
        retry_after_s,
    )


def wait_too_long(server_name: str, retry_after_s: float) -> WaitTooLong:
    """Return the error for a request that would wait too long for a slot."""
    return WaitTooLong(
        f"The request would wait too long for server {server_name}.",
        "Repeat the request after the time given, or with a longer timeout.",
        retry_after_s,
    )


def server_shedding(server_name: str, retry_after_s: float) -> ServerShedding:
    """Return the error for a server that is overloaded."""
    return ServerShedding(
        f"Server {server_name} declined the request because of its load.",
        "Repeat the request after the time given.",
        retry_after_s,
    )


def deadline_passed() -> DeadlinePassed:
    """Return the error for a request whose deadline has passed."""
    return DeadlinePassed(
        "The deadline of the request passed before it could be sent.",
        "Repeat the request with a longer timeout.",
        MIN_RETRY_AFTER_S,
    )


def already_sent(request_id: str) -> AlreadySent:
    """Return the error for a non-repeatable request that was already sent."""
    return AlreadySent(
        f"A request with id {request_id} was already sent to a server.",
        "Check whether it took effect; give every new request a unique id.",
    )


def answer_lost(reason: str) -> AnswerLost:
    """Return the error for a response that was lost after the request was sent."""
    return AnswerLost(
        f"The answer was lost: {reason}",
        "Check whether the request took effect before sending it again.",
    )
