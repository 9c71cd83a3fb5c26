"""Heartbeat of a leader to its peers, called its beat."""

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
    """A heartbeat of a leader.

    :ivar proof_age_s: age of the last proof of leadership when the beat was sent.
    :ivar hold_s: longest time for which any of its grants may still hold, including those that a
        server has not answered and may apply late.
    :ivar silent_servers: ids of servers that did not answer an order, nor a later one since.
    :ivar earlier_hold_s: `hold_s` for grants of earlier leaders, as far as this one knows.
    """

    epoch: int
    proof_age_s: float
    hold_s: float
    pending: tuple[PendingRange, ...]
    earlier_hold_s: float = 0.0
    silent_servers: tuple[str, ...] = ()
