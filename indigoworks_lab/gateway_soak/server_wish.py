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
    """

    request_id: str
    server_id: str
    at_s: float
    rest_s: float = 0.0
    is_leaving: bool = False
