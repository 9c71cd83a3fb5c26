"""What a server says of its own load."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SelfReportedLoad:
    """Load of a server at the moment of one of its answers, from all callers together.

    :ivar running: requests that it works on.
    :ivar waiting: requests in its own queue.
    :ivar pace: time that its work takes at present, as a multiple of the usual.
    """

    running: int
    waiting: int
    slots: int
    pace: float = 1.0
