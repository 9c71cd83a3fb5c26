"""Load of a server as it reports it itself."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SelfReportedLoad:
    """Load of a server from all callers together, at the time of one of its responses.

    :ivar running: requests that it runs.
    :ivar waiting: requests in its own queue.
    :ivar pace: present service time of its requests, as a multiple of the usual.
    """

    running: int
    waiting: int
    slots: int
    pace: float = 1.0
