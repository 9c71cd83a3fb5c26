"""One request of a soak as its caller saw it."""

from dataclasses import dataclass


@dataclass(frozen=True)
class SoakRequest:
    """A request whose bytes were all sent; times are of the event loop, in seconds.

    :ivar gateway: name of the gateway; `life` counts the processes started under it, from 1.
    :ivar route_version: version of the configuration that added its route.
    :ivar is_safe: whether it may run more than once.
    :ivar sent_s: when its last byte was handed to the kernel.
    :ivar ended_s: when the answer was whole, the connection ended or the caller gave up.
    :ivar status: of the answer; 0: none was read.
    :ivar is_whole: whether the whole answer came.
    :ivar is_given_up: whether the caller gave up waiting, long after the request's own deadline.
    :ivar was_read: whether the connection ended without a sign that bytes of it were left unread.
    """

    request_id: str
    gateway: str
    life: int
    route_version: int
    is_safe: bool
    sent_s: float
    ended_s: float
    status: int = 0
    is_whole: bool = False
    is_given_up: bool = False
    was_read: bool = False
