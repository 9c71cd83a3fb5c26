"""What gateways tell each other of what a server asked for in its answers."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from indigoworks.common.limit_word import LimitWord

MAX_REPORTERS = 4
"""Gateways that a note names: whether more than that were asked makes no difference to anybody."""

MAX_NOTICES = 28
"""Notes in a report, of up to 49 bytes each (computed), so that it stays below the 1.5 KB of a
packet."""


@dataclass(frozen=True, slots=True)
class SharedNotice:
    """A server's wish, as it was told to the sender and to those whom the sender sums up.

    :ivar server: checksum of the server's id.
    :ivar rest_left_s: seconds for which it still wants no request from the tellers; 0: it asked
        none of them for rest.
    :ivar tellers: checksums of the gateways that were asked for rest.
    :ivar limit: the newest word on a limit that any of them knows; None: none knows one.
    """

    server: int
    rest_left_s: float
    reporters: tuple[int, ...]
    is_leaving: bool
    limit: LimitWord | None = None

    def aged(self, age_s: float) -> "SharedNotice":
        """Return the same as of `age_s` later, as far as ages go."""
        if self.limit is None:
            return self
        return replace(self, limit=replace(self.limit, age_s=self.limit.age_s + age_s))


def merge_notices(notes: Iterable[SharedNotice]) -> tuple[SharedNotice, ...]:
    """Return one note for each server, leaving ones first; the same whatever the order."""
    merged: dict[int, SharedNotice] = {}
    for note in notes:
        known = merged.get(note.server)
        merged[note.server] = note if known is None else _merge(known, note)
    ordered = sorted(merged.values(), key=lambda each: (not each.is_leaving, -each.rest_left_s))
    return tuple(ordered[:MAX_NOTICES])


def _merge(one: SharedNotice, other: SharedNotice) -> SharedNotice:
    tellers = sorted({*one.reporters, *other.reporters})
    return SharedNotice(
        one.server,
        max(one.rest_left_s, other.rest_left_s),
        tuple(tellers[:MAX_REPORTERS]),
        one.is_leaving or other.is_leaving,
        _newer(one.limit, other.limit),
    )


def _newer(one: LimitWord | None, other: LimitWord | None) -> LimitWord | None:
    if one is None or other is None:
        return one or other
    return one if one.age_s <= other.age_s else other
