"""Two controllers that held the leader lease at the same moment."""

from dataclasses import dataclass


@dataclass(frozen=True)
class LeaderOverlap:
    """At `at_s` each of `leaders` could show that nobody else leads.

    :ivar leaders: name, generation and term of each.
    """

    at_s: float
    leaders: tuple[str, ...]
