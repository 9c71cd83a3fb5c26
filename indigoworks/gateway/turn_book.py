"""Turns at servers that take only so many requests a second, promised to refused callers."""

from collections import deque
from dataclasses import dataclass

from indigoworks.common.clock import Clock

BOOKED_SHARE = 0.5
"""Share of a rate that is promised at most: those who come for the first time have the rest, and
whoever comes at its turn waits for nobody."""

MAX_AHEAD_S = 30.0
"""No turn is promised further ahead: the limit may have ended by then, and callers have left."""

EARLY_S = 0.05
LATE_S = 0.15
"""A caller has its turn when it comes so much too early, or so late: its way and its clock are its
own. After that its turn is for others."""

READY_S = 0.3
"""Whoever comes at its turn can wait so long, and goes first: only where turns are further apart
than that one is kept free for it. An estimate: the shortest aim of a route on our sites."""

TRUST_STEP = 0.2
MIN_TRUST = 0.5
"""Weight of the last promise in the share of promises that callers use. Below MIN_TRUST no turn is
kept free: these callers come back when they like."""

LineName = tuple[str, str | None]
"""Service, and the owner that a line waits for; None: any server of the service."""


@dataclass(frozen=True, slots=True)
class _Turn:
    caller_mark: int
    at_s: float


class TurnBook:
    """Turns of callers that come back, by line.

    Without it all who are refused come back at the next turn, one is served, and the others are
    refused again: of those who came when they were told 0.3 were served (8 gateways, 6 servers that
    take 2 to 4 requests a second, callers of 1.3 times that; three runs), and 0.9 and more with it.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._turns: dict[LineName, deque[_Turn]] = {}
        self._trust = 1.0

    def book(self, name: LineName, caller_mark: int, rate_per_s: float, earliest_s: float) -> float:
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
            at_s = max(at_s, turns[-1].at_s + 1 / (BOOKED_SHARE * rate_per_s))
        if at_s <= now_s + MAX_AHEAD_S:
            turns.append(_Turn(caller_mark, at_s))
            self._turns[name] = turns
        return min(at_s - now_s, MAX_AHEAD_S)

    def is_due(self, name: LineName, caller_mark: int) -> bool:
        """Tell whether it is the turn of a caller."""
        return self._due(name, caller_mark) is not None

    def claim(self, name: LineName, caller_mark: int) -> bool:
        """Tell whether it is the turn of a caller, which it uses up by that."""
        turn = self._due(name, caller_mark)
        if turn is not None:
            self._turns[name].remove(turn)
            self._note_promise(is_used=True)
        return turn is not None

    def drop(self, name: LineName, caller_mark: int) -> None:
        """Take back the turn of a caller that is served before it."""
        turns = self._current(name) if self._turns else ()
        for turn in [each for each in turns if each.caller_mark == caller_mark]:
            self._turns[name].remove(turn)

    def kept_for_s(self, name: LineName, pause_s: float) -> float:
        """Return for how long the next turn of a line is kept for who was promised it; 0: it is
        free.

        :param pause_s: time from one turn to the next.
        """
        if not self._turns:
            return 0.0
        turns = self._current(name)
        now_s = self._clock.now()
        if self._trust < MIN_TRUST or pause_s <= READY_S:
            return 0.0
        if not turns or turns[0].at_s > now_s + pause_s - READY_S:
            return 0.0
        return turns[0].at_s + LATE_S - now_s

    def count_within(self, name: LineName, duration_s: float) -> int:
        """Return the turns that are promised within a time from now."""
        if not self._turns:
            return 0
        until_s = self._clock.now() + duration_s
        return sum(each.at_s <= until_s for each in self._current(name))

    def _note_promise(self, is_used: bool) -> None:
        self._trust += TRUST_STEP * (is_used - self._trust)

    def _due(self, name: LineName, caller_mark: int) -> _Turn | None:
        if not self._turns:
            return None
        due_s = self._clock.now() + EARLY_S
        for turn in self._current(name):
            if turn.caller_mark == caller_mark and turn.at_s <= due_s:
                return turn
        return None

    def _current(self, name: LineName) -> deque[_Turn]:
        """Return the turns of a line that are not over."""
        turns = self._turns.get(name)
        if turns is None:
            return deque()
        earliest_s = self._clock.now() - LATE_S
        while turns and turns[0].at_s < earliest_s:
            turns.popleft()
            self._note_promise(is_used=False)
        if not turns:
            del self._turns[name]
        return turns
