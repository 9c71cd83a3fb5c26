"""Texts of the errors of the request path and the time after which to come back."""

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
"""Shortest time that a refused caller is asked to wait."""

RETRY_SPREAD = 0.5
"""Share of the waiting time that is added at random, so that callers do not return together."""

REASSIGNMENT_S = 1.0
"""Time after which a key without an owner is usually served again."""

STOPPING_RETRY_AFTER_S = 0.2
"""Time after which a caller of a stopping router may repeat the request elsewhere."""


def spread_retry_after_s(wait_s: float, random: Random) -> float:
    """Return the time to come back after, at least `wait_s` and up to half as much more."""
    shortest_s = max(MIN_RETRY_AFTER_S, wait_s)
    return shortest_s * (1.0 + RETRY_SPREAD * random.random())


def unknown_service(service: str) -> UnknownService:
    """Return the refusal of a service that the settings tree does not name."""
    return UnknownService(
        f"There is no service {service!r}.",
        "Check the request path /v1/SERVICE/KEY against the services of the settings tree.",
    )


def missing_key() -> MissingKey:
    """Return the refusal of a path without a key."""
    return MissingKey("The request path has no key.", "Use the path /v1/SERVICE/KEY.")


def body_too_large(size_bytes: int, limit_bytes: int) -> BodyTooLarge:
    """Return the refusal of a body over the service's limit."""
    return BodyTooLarge(
        f"The body has {size_bytes} bytes or more; the limit is {limit_bytes}.",
        "Send a smaller body, or raise max_body_bytes in the settings tree.",
    )


def idempotency_key_reused() -> IdempotencyKeyReused:
    """Return the refusal of an idempotency key that stands for another request."""
    return IdempotencyKeyReused(
        "The idempotency key was used before with another method, path or body.",
        "Give every new request a new idempotency key.",
    )


def view_expired() -> ViewExpired:
    """Return the refusal of a router whose view lease has ended."""
    return ViewExpired(
        "This router has lost touch with the controllers.",
        "Repeat the request at another router, or here after the time given.",
        REASSIGNMENT_S,
    )


def router_stopping() -> RouterStopping:
    """Return the refusal of a router that is being stopped."""
    return RouterStopping(
        "This router is being stopped.",
        "Repeat the request at another router.",
        STOPPING_RETRY_AFTER_S,
    )


def no_owner(service: str, retry_after_s: float) -> NoOwner:
    """Return the refusal of a key that nobody owns at the moment."""
    return NoOwner(
        f"No server of {service} owns the key at the moment.",
        "Repeat the request after the time given.",
        retry_after_s,
    )


def wrong_owner(server_name: str) -> WrongOwner:
    """Return the refusal of a server that does not own the key."""
    return WrongOwner(
        f"Server {server_name} does not own the key any more.",
        "Repeat the request after the time given.",
        MIN_RETRY_AFTER_S,
    )


def owner_unreachable(server_name: str, retry_after_s: float) -> OwnerUnreachable:
    """Return the failure to connect to the owner."""
    return OwnerUnreachable(
        f"Server {server_name} cannot be reached.",
        "Repeat the request after the time given.",
        retry_after_s,
    )


def dispatcher_unreachable(router_name: str, reason: str) -> DispatcherUnreachable:
    """Return the failure to hand a request to another router."""
    return DispatcherUnreachable(
        f"Router {router_name} did not take the request: {reason}",
        "Repeat the request after the time given.",
        MIN_RETRY_AFTER_S,
    )


def queue_full(group: str, server_name: str, retry_after_s: float) -> QueueFull:
    """Return the refusal of a group whose queue is full."""
    return QueueFull(
        f"Group {group} has as many requests waiting for server {server_name} as it may.",
        "Repeat the request after the time given, or raise max_queue_length.",
        retry_after_s,
    )


def wait_too_long(server_name: str, retry_after_s: float) -> WaitTooLong:
    """Return the refusal of a request that would not be served in time."""
    return WaitTooLong(
        f"The request would wait too long for server {server_name}.",
        "Repeat the request after the time given, or allow it more time.",
        retry_after_s,
    )


def server_shedding(server_name: str, retry_after_s: float) -> ServerShedding:
    """Return the refusal of a server that declined for load."""
    return ServerShedding(
        f"Server {server_name} declined the request because of its load.",
        "Repeat the request after the time given.",
        retry_after_s,
    )


def deadline_passed() -> DeadlinePassed:
    """Return the refusal of a request whose time is over."""
    return DeadlinePassed(
        "The time allowed for the request ended before it could be sent.",
        "Repeat the request with more time.",
        MIN_RETRY_AFTER_S,
    )


def already_sent(request_id: str) -> AlreadySent:
    """Return the refusal of a non-repeatable request that was sent before."""
    return AlreadySent(
        f"A request with id {request_id} was sent to a server before.",
        "Look up whether it took effect; give every new request an id of its own.",
    )


def answer_lost(reason: str) -> AnswerLost:
    """Return the loss of an answer after the request was sent."""
    return AnswerLost(
        f"The answer was lost: {reason}",
        "Look up whether the request took effect before sending it again.",
    )
