"""Schedules the retries of refused callers of rate-limited servers."""

from collections import deque
from dataclasses import dataclass

from indigoworks.common.clock import Clock

SCHEDULED_SHARE = 0.5
"""Share of a rate that is scheduled in a short schedule: first attempts get the rest, and a due
scheduled retry goes before all of them."""

SHORT_SCHEDULE_S = 5.0
LONG_SCHEDULED_SHARE = 0.9
"""The share for retries further ahead than SHORT_SCHEDULE_S: callers that wait so long go before
first attempts."""

MAX_SCHEDULED_RETRIES = 1000
"""Most scheduled retries of a queue. Each takes about 200 bytes."""

EARLY_S = 0.05
LATE_S = 0.15
"""Earliness and lateness up to which a permit is reserved for a scheduled retry, given the caller's
network delay and clock. Afterwards other requests may use the permit."""

EXPIRY_S = 2.0
"""Lateness up to which a scheduled retry still goes first, as far as the rate permits: its permit
stays unused if the next one is reserved as well."""

READY_S = 0.3
"""Time that a due scheduled retry can wait, at the head of the queue. A permit is reserved for it
only if permits are further apart than this."""

SPREAD_STEPS = 1009
"""Number of steps over which callers without a scheduled retry are spread after the schedule."""

TRUST_STEP = 0.2
MIN_TRUST = 0.5
"""Weight of the newest outcome in `_trust`, a moving average of the share of scheduled retries that
callers use. Below MIN_TRUST no permit is reserved: the callers do not keep to the schedule."""

USED_STEP = 0.03
MIN_USED_SHARE = 0.4
"""Weight of the newest outcome in `_used_share`, a slower average of the same share. The time from
one scheduled retry to the next is multiplied by it, or by MIN_USED_SHARE if that is more: callers
that do not return must not delay those that do."""

QueueName = tuple[str, str | None]
"""Service, and the owner that a queue waits for; None for any server of the service."""


@dataclass(frozen=True, slots=True)
class _ScheduledRetry:
    caller_mark: int
    at_s: float


class RetrySchedule:
    """Scheduled retries of refused callers, by queue.

    Without a schedule all refused callers retry at the next permit, one is served, and the others
    are refused again. The schedule is not bounded in time: a caller that was told an earlier time
    would be refused once more. Callers that do not use their scheduled retries shorten it.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._retries: dict[QueueName, deque[_ScheduledRetry]] = {}
        self._trust = self._used_share = 1.0

    def schedule(
        self, name: QueueName, caller_mark: int, rate_per_s: float, earliest_s: float
    ) -> float:
        """Schedule a retry of a caller, and return the time until then.

        :param rate_per_s: rate limit of the servers of the queue, in requests a second.
        :param earliest_s: seconds until the first permit that is expected to be free.
        """
        retries = self._current(name)
        now_s = self._clock.now()
        for retry in retries:
            if retry.caller_mark == caller_mark and retry.at_s > now_s:
                return retry.at_s - now_s
        at_s = now_s + earliest_s
        if retries:
            ahead_s = retries[-1].at_s - now_s
            share = SCHEDULED_SHARE if ahead_s < SHORT_SCHEDULE_S else LONG_SCHEDULED_SHARE
            pause_s = max(self._used_share, MIN_USED_SHARE) / (share * rate_per_s)
            at_s = max(at_s, retries[-1].at_s + pause_s)
        if len(retries) >= MAX_SCHEDULED_RETRIES:
            return at_s - now_s + _spread(caller_mark) * MAX_SCHEDULED_RETRIES / rate_per_s
        retries.append(_ScheduledRetry(caller_mark, at_s))
        self._retries[name] = retries
        return at_s - now_s

    def is_due(self, name: QueueName, caller_mark: int) -> bool:
        """Return whether a scheduled retry of the caller is due."""
        return self._due(name, caller_mark) is not None

    def claim(self, name: QueueName, caller_mark: int) -> bool:
        """Return whether a scheduled retry of the caller is due, and remove it if so."""
        retry = self._due(name, caller_mark)
        if retry is not None:
            self._retries[name].remove(retry)
            self._record_outcome(is_used=True)
        return retry is not None

    def cancel(self, name: QueueName, caller_mark: int) -> None:
        """Remove the scheduled retry of a caller that is served earlier."""
        retries = self._current(name) if self._retries else ()
        for retry in [each for each in retries if each.caller_mark == caller_mark]:
            self._retries[name].remove(retry)

    def reserved_for_s(self, name: QueueName, pause_s: float) -> float:
        """Return for how long the next permit of a queue is reserved for a scheduled retry; 0 if it
        is not.

        :param pause_s: time from one permit to the next.
        """
        if not self._retries:
            return 0.0
        now_s = self._clock.now()
        next_s = next(
            (each.at_s for each in self._current(name) if each.at_s >= now_s - LATE_S), None
        )
        if next_s is None or self._trust < MIN_TRUST or pause_s <= READY_S:
            return 0.0
        return 0.0 if next_s > now_s + pause_s - READY_S else next_s + LATE_S - now_s

    def length_s(self, name: QueueName) -> float:
        """Return the time until the last scheduled retry; 0 if there is none."""
        retries = self._current(name) if self._retries else ()
        return max(0.0, retries[-1].at_s - self._clock.now()) if retries else 0.0

    def count_within(self, name: QueueName, duration_s: float) -> int:
        """Return the number of retries scheduled within `duration_s` from now."""
        if not self._retries:
            return 0
        now_s = self._clock.now()
        retries = self._current(name)
        return sum(now_s - LATE_S <= each.at_s <= now_s + duration_s for each in retries)

    def _record_outcome(self, is_used: bool) -> None:
        self._trust += TRUST_STEP * (is_used - self._trust)
        self._used_share += USED_STEP * (is_used - self._used_share)

    def _due(self, name: QueueName, caller_mark: int) -> _ScheduledRetry | None:
        if not self._retries:
            return None
        due_s = self._clock.now() + EARLY_S
        for retry in self._current(name):
            if retry.caller_mark == caller_mark and retry.at_s <= due_s:
                return retry
        return None

    def _current(self, name: QueueName) -> deque[_ScheduledRetry]:
        """Return the scheduled retries of a queue that have not expired."""
        retries = self._retries.get(name)
        if retries is None:
            return deque()
        earliest_s = self._clock.now() - EXPIRY_S
        while retries and retries[0].at_s < earliest_s:
            retries.popleft()
            self._record_outcome(is_used=False)
        if not retries:
            del self._retries[name]
        return retries


def _spread(caller_mark: int) -> float:
    """Return a number from 0 to 1 that differs from caller to caller."""
    return caller_mark % SPREAD_STEPS / SPREAD_STEPS
