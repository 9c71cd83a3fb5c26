"""A request in whose hands servers ended."""

from dataclasses import dataclass, replace

from indigoworks.quarantine.crash_ids import count_crashes, first_crash_per_window
from indigoworks.quarantine.request_mark import RequestMark

CRASH_LIMIT = 3
"""Servers that end one after the other under a request, none of whose runs ends well in between,
before it is refused. A server that ends has up to ten requests in hand, and one of those may meet a
second such server by chance."""

SHARED_REFUSAL_S = 60.0
"""A request of any caller is refused for so long after the third end, and twice as long after each
further one. A page that many read would be asked for again and again, and a wrong verdict never be
taken back; a right one costs a server each time that it is tried anew."""

MAX_SHARED_REFUSAL_S = 600.0


@dataclass(frozen=True, slots=True)
class Suspect:
    """What is known of one request; gateways merge what they know, in any order and any number of
    times, and end with the same.

    :ivar generation: grows each time that a run ends well, which clears the request: what is known
        of an earlier generation counts no more.
    :ivar crashes: ends of servers under runs of this generation, as `counted_ends` makes them.
    :ivar crashed_s: clock reading of the latest of them.
    :ivar seen_s: clock reading of the latest crash, clearing or refusal.
    :ivar is_shared: it stands for the tries of all callers.
    """

    mark: RequestMark
    generation: int
    crashes: frozenset[int]
    crashed_s: float
    seen_s: float
    is_shared: bool = False

    @property
    def crash_count(self) -> int:
        """Return how many ends of servers speak against it."""
        return count_crashes(self.crashes)

    @property
    def is_refused(self) -> bool:
        """Tell whether the request is sent to no server, a shared one until it is tried anew."""
        return self.crash_count >= CRASH_LIMIT

    def may_be_retried(self, now_s: float) -> bool:
        """Tell whether a shared request is let through to learn whether it still harms."""
        return self.is_shared and self.remaining_refusal_s(now_s) <= 0

    def remaining_refusal_s(self, now_s: float) -> float:
        """Return for how much longer a shared request is refused."""
        factor = 1 << max(0, self.crash_count - CRASH_LIMIT)
        refusal_s = min(SHARED_REFUSAL_S * factor, MAX_SHARED_REFUSAL_S)
        return self.crashed_s + refusal_s - now_s

    def is_cleared_since(self, at_s: float) -> bool:
        """Tell whether a run ended well after `at_s`, and none ended a server since."""
        return self.generation > 0 and not self.crashes and self.seen_s > at_s

    def with_crash(self, crash_id: int, at_s: float) -> "Suspect":
        """Return the same after another end of a server."""
        crashes = first_crash_per_window(self.crashes | {crash_id})
        return replace(self, crashes=crashes, crashed_s=at_s, seen_s=at_s)

    def cleared(self, at_s: float) -> "Suspect":
        """Return the same after a run that ended well."""
        return replace(
            self,
            generation=self.generation + 1,
            crashes=frozenset(),
            crashed_s=float("-inf"),
            seen_s=at_s,
        )

    def with_seen(self, at_s: float) -> "Suspect":
        """Return the same after a try of it came."""
        return replace(self, seen_s=max(self.seen_s, at_s))

    def merged_with(self, other: "Suspect") -> "Suspect":
        """Return what both know."""
        if self.generation != other.generation:
            newer = max(self, other, key=lambda each: each.generation)
            return newer.with_seen(max(self.seen_s, other.seen_s))
        return Suspect(
            self.mark,
            self.generation,
            first_crash_per_window(self.crashes | other.crashes),
            max(self.crashed_s, other.crashed_s),
            max(self.seen_s, other.seen_s),
            self.is_shared,
        )
