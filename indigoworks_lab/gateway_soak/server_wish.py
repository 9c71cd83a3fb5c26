"""What a server of a soak asked for, and what arrived there."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ServerArrival:
    """A request arrived at a server at `at_s`, in seconds of the event loop."""

    request_id: str
    server_id: str
    at_s: float


@dataclass(frozen=True)
class ServerWish:
    """The answer to a request asked for something at `at_s`, in seconds of the event loop.

    :ivar rest_s: 0: for no rest.
    :ivar limit_per_s: requests a second that it takes from all gateways; None: it names no limit.
    """

    request_id: str
    server_id: str
    at_s: float
    rest_s: float = 0.0
    is_leaving: bool = False
    limit_per_s: float | None = None
