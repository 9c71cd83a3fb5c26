"""A span of time in which one run of a server would accept requests on a range."""

from dataclasses import dataclass


@dataclass
class OwnershipSpan:
    """From `from_s` until `to_s` the server's own rules let it accept keys of [start, end].

    :ivar to_s: the earliest of the lease's end (on the server's clock, in true time), the next
        change of grants, and the server's end.
    """

    service: str
    start: int
    end: int
    server: str
    server_run: int
    token: int
    from_s: float
    to_s: float
