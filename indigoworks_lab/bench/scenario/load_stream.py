"""One stream of requests of a scenario."""

from dataclasses import dataclass


@dataclass(frozen=True)
class LoadStream:
    """Requests of one group to one service, at one rate, in one span of time.

    Arrivals are open-loop: they come at moments of a Poisson process, whatever the answers do.

    :ivar name: names the stream's own random numbers, so that a stream is the same beside others.
    :ivar from_s, to_s: span, in seconds since the load began.
    :ivar keys: numbers of the only keys it asks for, drawn with a Zipf distribution; empty for
        all keys of the service.
    """

    name: str
    service: str
    group: str
    rate_per_s: float
    from_s: float
    to_s: float
    keys: tuple[int, ...] = ()
