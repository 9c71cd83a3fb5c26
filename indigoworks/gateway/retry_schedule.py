"""Turns at servers that take only so many requests a second, promised to refused callers."""

from collections import deque
from dataclasses import dataclass

from indigoworks.common.clock import Clock

SCHEDULED_SHARE = 0.5
"""Share of a rate that is promised in a short line: those who come for the first time have the
rest, and whoever comes at its turn waits for nobody."""

SHORT_SCHEDULE_S = 5.0
LONG_SCHEDULED_SHARE = 0.9
"""The same for turns further ahead than SHORT_LINE_S: who waits for so long goes before those who
come for the first time."""

MAX_SCHEDULED_RETRIES = 1000
"""Turns of a line that are promised. Each takes about 200 bytes."""

EARLY_S = 0.05
LATE_S = 0.15
"""A turn is kept free for a caller that comes so much too early, or so late: its way and its clock
are its own. After that others may take it."""

EXPIRY_S = 2.0
"""Who comes so late still goes first, as far as there is room: its turn has gone to nobody where
the next one was promised as well."""

READY_S = 0.3
"""Whoever comes at its turn can wait so long, and goes first: only where turns are further apart
than that one is kept free for it."""

SPREAD_STEPS = 1009
"""Callers without a turn are spread over so many moments of the time beyond the line."""

TRUST_STEP = 0.2
MIN_TRUST = 0.5
"""Weight of the last promise in the share of promises that callers use. Below MIN_TRUST no turn is
kept free: these callers come back when they like."""

USED_STEP = 0.03
MIN_USED_SHARE = 0.4
"""The same weight for the share by which turns are promised more densely: those who do not come
back must not lengthen the line of those who do."""

QueueName = tuple[str, str | None]
"""Service, and the owner that a line waits for; None: any server of the service."""


@dataclass(frozen=True, slots=True)
class _ScheduledRetry:
    caller_mark: int
    at_s: float


class RetrySchedule:
    """Turns of callers that come back, by line.

    Without it all who are refused come back at the next turn, one is served, and the others are
    refused again. The line has no end in time: a caller that is told an earlier moment than its
    turn is refused once more then. Callers that do not use their turns shorten it.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._retries: dict[QueueName, deque[_ScheduledRetry]] = {}
        self._trust = self._used_share = 1.0

    def schedule(
        self, name: QueueName, caller_mark: int, rate_per_s: float, earliest_s: float
    ) -> float:
        """Promise a turn; returns the time until then.

        :param rate_per_s: requests a second that go to the servers of the line.
        :param earliest_s: time until the first turn that is free, in seconds.
        """
        turns = self._current(name)
        now_s = self._clock.now()
        for turn in turns:
            if turn.caller_mark == caller_mark and turn.at_s > now_s:
                return turn.at_s - now_s
        at_s = now_s + earliest_s
        if turns:
            ahead_s = turns[-1].at_s - now_s
            share = SCHEDULED_SHARE if ahead_s < SHORT_SCHEDULE_S else LONG_SCHEDULED_SHARE
            pause_s = max(self._used_share, MIN_USED_SHARE) / (share * rate_per_s)
            at_s = max(at_s, turns[-1].at_s + pause_s)
        if len(turns) >= MAX_SCHEDULED_RETRIES:
            return at_s - now_s + _spread(caller_mark) * MAX_SCHEDULED_RETRIES / rate_per_s
        turns.append(_ScheduledRetry(caller_mark, at_s))
        self._retries[name] = turns
        return at_s - now_s

    def is_due(self, name: QueueName, caller_mark: int) -> bool:
        """Tell whether it is the turn of a caller."""
        return self._due(name, caller_mark) is not None

    def claim(self, name: QueueName, caller_mark: int) -> bool:
        """Tell whether it is the turn of a caller, which it uses up by that."""
        turn = self._due(name, caller_mark)
        if turn is not None:
            self._retries[name].remove(turn)
            self._record_outcome(is_used=True)
        return turn is not None

    def cancel(self, name: QueueName, caller_mark: int) -> None:
        """Take back the turn of a caller that is served before it."""
        turns = self._current(name) if self._retries else ()
        for turn in [each for each in turns if each.caller_mark == caller_mark]:
            self._retries[name].remove(turn)

    def reserved_for_s(self, name: QueueName, pause_s: float) -> float:
        """Return for how long the next turn of a line is kept for who was promised it; 0: it is
        free.

        :param pause_s: time from one turn to the next.
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
        """Return the time until the last turn that is promised; 0: there is none."""
        turns = self._current(name) if self._retries else ()
        return max(0.0, turns[-1].at_s - self._clock.now()) if turns else 0.0

    def count_within(self, name: QueueName, duration_s: float) -> int:
        """Return the turns that are promised within a time from now."""
        if not self._retries:
            return 0
        now_s = self._clock.now()
        turns = self._current(name)
        return sum(now_s - LATE_S <= each.at_s <= now_s + duration_s for each in turns)

    def _record_outcome(self, is_used: bool) -> None:
        self._trust += TRUST_STEP * (is_used - self._trust)
        self._used_share += USED_STEP * (is_used - self._used_share)

    def _due(self, name: QueueName, caller_mark: int) -> _ScheduledRetry | None:
        if not self._retries:
            return None
        due_s = self._clock.now() + EARLY_S
        for turn in self._current(name):
            if turn.caller_mark == caller_mark and turn.at_s <= due_s:
                return turn
        return None

    def _current(self, name: QueueName) -> deque[_ScheduledRetry]:
        """Return the turns of a line that are not over."""
        turns = self._retries.get(name)
        if turns is None:
            return deque()
        earliest_s = self._clock.now() - EXPIRY_S
        while turns and turns[0].at_s < earliest_s:
            turns.popleft()
            self._record_outcome(is_used=False)
        if not turns:
            del self._retries[name]
        return turns


def _spread(caller_mark: int) -> float:
    """Return a number from 0 to 1 that differs from caller to caller."""
    return caller_mark % SPREAD_STEPS / SPREAD_STEPS
