"""A suspect: a request during which servers crashed."""

from dataclasses import dataclass, replace

from indigoworks.quarantine.crash_ids import count_crashes, first_crash_per_window
from indigoworks.quarantine.request_mark import RequestMark

CRASH_LIMIT = 3
"""Consecutive crashes, without a successful run in between, after which a request is refused. A
server that crashes runs up to ten requests, and one of them may run on a second such server by
chance."""

SHARED_REFUSAL_S = 60.0
"""Time for which a request of any caller is refused after the third crash; it doubles with each
further crash. A popular page is requested all the time, so an unlimited refusal in error would
never be lifted; a justified refusal costs one server for each retry."""

MAX_SHARED_REFUSAL_S = 600.0


@dataclass(frozen=True, slots=True)
class Suspect:
    """What is known about one request. Merging is commutative, associative and idempotent, so all
    gateways converge.

    :ivar generation: incremented each time that a successful run clears the request; crashes of
        earlier generations no longer count. Not the generation of the control log.
    :ivar crashes: ids of server crashes during runs of this generation; see `crash_ids`.
    :ivar crashed_s: clock reading of the crash that was recorded last; merging keeps the later one.
    :ivar seen_s: clock reading of the crash, clearing or refusal that was recorded last; merging
        keeps the later one.
    :ivar is_shared: it stands for the attempts of all callers.
    """

    mark: RequestMark
    generation: int
    crashes: frozenset[int]
    crashed_s: float
    seen_s: float
    is_shared: bool = False

    @property
    def crash_count(self) -> int:
        """Return how many crashes count against the request."""
        return count_crashes(self.crashes)

    @property
    def is_refused(self) -> bool:
        """Return whether CRASH_LIMIT is reached; a shared request may be retried all the same."""
        return self.crash_count >= CRASH_LIMIT

    def may_be_retried(self, now_s: float) -> bool:
        """Return whether a shared request is sent again to find out whether it is still harmful."""
        return self.is_shared and self.remaining_refusal_s(now_s) <= 0

    def remaining_refusal_s(self, now_s: float) -> float:
        """Return the seconds for which a shared request is still refused."""
        factor = 1 << max(0, self.crash_count - CRASH_LIMIT)
        refusal_s = min(SHARED_REFUSAL_S * factor, MAX_SHARED_REFUSAL_S)
        return self.crashed_s + refusal_s - now_s

    def is_cleared_since(self, at_s: float) -> bool:
        """Return whether a run succeeded after `at_s` and no run has crashed a server since."""
        return self.generation > 0 and not self.crashes and self.seen_s > at_s

    def with_crash(self, crash_id: int, at_s: float) -> "Suspect":
        """Return a copy with another server crash."""
        crashes = first_crash_per_window(self.crashes | {crash_id})
        return replace(self, crashes=crashes, crashed_s=at_s, seen_s=at_s)

    def cleared(self, at_s: float) -> "Suspect":
        """Return a copy that a successful run has cleared."""
        return replace(
            self,
            generation=self.generation + 1,
            crashes=frozenset(),
            crashed_s=float("-inf"),
            seen_s=at_s,
        )

    def with_seen(self, at_s: float) -> "Suspect":
        """Return a copy seen at `at_s`."""
        return replace(self, seen_s=max(self.seen_s, at_s))

    def merged_with(self, other: "Suspect") -> "Suspect":
        """Return the merged knowledge of two gateways."""
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
