"""Spans of time in which one process of a server held the same keys."""

from collections.abc import Callable
from dataclasses import dataclass

from indigoworks.ownership.ownership_table import KEY_COUNT
from indigoworks_lab.control_simulation.interval_map import IntervalMap
from indigoworks_lab.gateway_soak.key_event import KeyEvent
from indigoworks_lab.gateway_soak.key_server_life import KeyServerLife

NEVER_S = float("-inf")


@dataclass(frozen=True)
class KeyHold:
    """Keys `first` to `last` (inside), from `from_s` until `until_s`, without a gap.

    :ivar grant: that began it.
    """

    life: KeyServerLife
    first: int
    last: int
    from_s: float
    until_s: float
    grant: KeyEvent


@dataclass(frozen=True)
class _Held:
    from_s: float
    until_s: float
    grant: KeyEvent


_NOTHING = _Held(NEVER_S, NEVER_S, KeyEvent("nothing", NEVER_S))


def holds_of(life: KeyServerLife, is_counted: Callable[[KeyEvent], bool]) -> list[KeyHold]:
    """Return the holds of a process by the grants that count."""
    held: IntervalMap[_Held] = IntervalMap(_NOTHING)
    holds: list[KeyHold] = []

    def end(first: int, last: int, at_s: float) -> None:
        for piece in held.pieces(first, last):
            value = piece.value
            until_s = min(value.until_s, at_s, life.ended_s)
            if until_s > value.from_s:
                hold = KeyHold(
                    life,
                    piece.first,
                    piece.last,
                    value.from_s,
                    until_s,
                    value.grant,
                )
                holds.append(hold)

    for event in life.events:
        if event.kind == "released":
            end(event.first, event.last, event.at_s)
            held.set(event.first, event.last, _NOTHING)
        elif event.kind == "taken" and is_counted(event):
            until_s = event.at_s + event.hold_s
            for piece in list(held.pieces(event.first, event.last)):
                value = piece.value
                if value.until_s > event.at_s:
                    new = _Held(value.from_s, until_s, value.grant)
                else:
                    end(piece.first, piece.last, event.at_s)
                    new = _Held(event.at_s, until_s, event)
                held.set(piece.first, piece.last, new)
    end(0, KEY_COUNT - 1, life.ended_s)
    return holds
