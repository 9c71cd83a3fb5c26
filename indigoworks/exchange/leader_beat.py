"""What a leader tells its peers."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PendingRange:
    """A range whose new owner has not been granted it yet."""

    service: str
    first: int
    last: int
    token: int


@dataclass(frozen=True, slots=True)
class LeaderBeat:
    """A sign of life of a leader.

    :ivar proof_age_s: age of its last proof of leadership when it was sent.
    :ivar hold_s: how long any of its grants may still hold, those included that a server has not
        answered and may take late.
    :ivar silent_servers: ids of servers that left an order unanswered and have not answered since.
    :ivar earlier_hold_s: the same of grants of the leaders before it, as far as it knows.
    """

    epoch: int
    proof_age_s: float
    hold_s: float
    pending: tuple[PendingRange, ...]
    earlier_hold_s: float = 0.0
    silent_servers: tuple[str, ...] = ()
