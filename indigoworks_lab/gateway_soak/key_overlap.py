"""Spans in which two servers held the same keys."""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from functools import partial
from itertools import combinations

from indigoworks_lab.gateway_soak.key_event import KeyEvent
from indigoworks_lab.gateway_soak.key_history import KeyHistory
from indigoworks_lab.gateway_soak.key_hold import KeyHold, holds_of
from indigoworks_lab.gateway_soak.key_server_life import KeyServerLife

IsCounted = Callable[[KeyServerLife, KeyEvent], bool]


@dataclass(frozen=True)
class KeyOverlap:
    """Two holds that share keys and time; `later` began later."""

    earlier: KeyHold
    later: KeyHold

    @property
    def first(self) -> int:
        """Return the first key that both held."""
        return max(self.earlier.first, self.later.first)

    @property
    def last(self) -> int:
        """Return the last key that both held."""
        return min(self.earlier.last, self.later.last)

    @property
    def from_s(self) -> float:
        """Return when both held."""
        return self.later.from_s

    @property
    def until_s(self) -> float:
        """Return when one of them held no more."""
        return min(self.earlier.until_s, self.later.until_s)

    def covers(self, event: KeyEvent) -> bool:
        """Tell whether work on a key falls into it."""
        return self.first <= event.first <= self.last and self.from_s <= event.at_s < self.until_s

    def text(self, history: KeyHistory) -> str:
        """Say who held what, by whose grants."""
        sides = " and ".join(
            f"{each.life.name} ({history.grant_text(each.life, each.grant)})"
            for each in (self.earlier, self.later)
        )
        awake = history.awake_text(self.later.life, self.from_s)
        length_s = self.until_s - self.from_s
        return f"keys {self.first}-{self.last} by {sides}, together for {length_s:.3f} s{awake}"


def overlaps(history: KeyHistory, is_counted: IsCounted) -> list[KeyOverlap]:
    """Return where two processes held the same keys by grants that count, by time."""
    holds = [holds_of(life, partial(is_counted, life)) for life in history.lives]
    found = [overlap for one, other in combinations(holds, 2) for overlap in _between(one, other)]
    return sorted(found, key=lambda each: (each.from_s, each.first))


def _between(ones: Sequence[KeyHold], others: Sequence[KeyHold]) -> Iterator[KeyOverlap]:
    for one in ones:
        for other in others:
            shares_keys = one.first <= other.last and other.first <= one.last
            if shares_keys and one.from_s < other.until_s and other.from_s < one.until_s:
                yield KeyOverlap(*sorted((one, other), key=lambda each: each.from_s))
