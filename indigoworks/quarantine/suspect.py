"""A request in whose hands servers ended."""

from dataclasses import dataclass, replace

from indigoworks.quarantine.counted_ends import count_ends, first_of_slots
from indigoworks.quarantine.request_mark import RequestMark

HARM_LIMIT = 3
"""Servers that end one after the other under a request, none of whose runs ends well in between,
before it is refused. A server that ends has up to ten requests in hand, and one of those may meet a
second such server by chance. Beside 60 servers that ended for other reasons, ten of 40 at a time,
two tries of 7,200, once three, were refused for a moment: of a page that one caller read 40 times a
second (simulated, scenario of bursts)."""

MAX_CRASHES = 8
"""Runs that are kept of one request; more than HARM_LIMIT tell nothing new."""

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
    :ivar crashes: random ids of the runs of this generation under which a server ended; where
        `is_shared`, ends as `counted_ends` makes them.
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
    def ends(self) -> int:
        """Return how many ends of servers speak against it."""
        return count_ends(self.crashes) if self.is_shared else len(self.crashes)

    @property
    def is_refused(self) -> bool:
        """Tell whether the request is sent to no server, a shared one until it is tried anew."""
        return self.ends >= HARM_LIMIT

    def is_tried_anew(self, now_s: float) -> bool:
        """Tell whether a shared request is let through to learn whether it still harms."""
        return self.is_shared and self.refused_left_s(now_s) <= 0

    def refused_left_s(self, now_s: float) -> float:
        """Return for how much longer a shared request is refused."""
        factor = 1 << max(0, self.ends - HARM_LIMIT)
        refusal_s = min(SHARED_REFUSAL_S * factor, MAX_SHARED_REFUSAL_S)
        return self.crashed_s + refusal_s - now_s

    def is_cleared_since(self, at_s: float) -> bool:
        """Tell whether a run ended well after `at_s`, and none ended a server since."""
        return self.generation > 0 and not self.crashes and self.seen_s > at_s

    def crashed(self, crash: int, at_s: float) -> "Suspect":
        """Return the same after another run of this id that ended a server."""
        crashes = self._bounded(self.crashes | {crash})
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

    def seen(self, at_s: float) -> "Suspect":
        """Return the same after a try of it came."""
        return replace(self, seen_s=max(self.seen_s, at_s))

    def merged(self, other: "Suspect") -> "Suspect":
        """Return what both know."""
        if self.generation != other.generation:
            newer = max(self, other, key=lambda each: each.generation)
            return newer.seen(max(self.seen_s, other.seen_s))
        return Suspect(
            self.mark,
            self.generation,
            self._bounded(self.crashes | other.crashes),
            max(self.crashed_s, other.crashed_s),
            max(self.seen_s, other.seen_s),
            self.is_shared,
        )

    def _bounded(self, crashes: frozenset[int]) -> frozenset[int]:
        """Return the same ones wherever the same are known."""
        if self.is_shared:
            return first_of_slots(crashes)
        return crashes if len(crashes) <= MAX_CRASHES else frozenset(sorted(crashes)[:MAX_CRASHES])
