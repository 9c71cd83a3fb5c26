"""Ends of servers under tries of a request, counted so that one cause counts once."""

from collections.abc import Iterable

from indigoworks.exchange.server_load import server_checksum

CRASH_WINDOW_S = 1.0
"""Ends within one slot of the store's steady clock count once. Servers of a service or a zone end
together for other reasons, with a page in hand at many of them that many read. A request that comes
often still meets three slots within 3 s of its first end, and the users allow three runs later than
3 s after the third."""

LATE_DETECTION_WINDOWS = 2
"""A server that falls silent is noticed here up to 1.3 s later than there (patience and two
connections): ends of one id within so many slots are one, later ones are those of two lives."""

NO_WINDOW = -1
"""Before all slots."""

SERVER_BITS = 32
MAX_WINDOWS = 8
"""Slots that are kept of one request; more tell nothing new."""


def make_crash_id(slot: int, server_id: str) -> int:
    """Return the number that stands for the end of a server within a slot: the same at all gateways
    that saw it in this slot."""
    return slot << SERVER_BITS | server_checksum(server_id)


def window_of(at_s: float) -> int:
    """Return the slot of a reading of the store's steady clock."""
    return int(at_s / CRASH_WINDOW_S)


def make_shared_crash_id(at_s: float, known_slot: int, server_id: str) -> int:
    """Return the number of an end at `at_s` under a try of any caller, sent when an end in
    `known_slot` was known: it is in a later slot, for they have no common cause.

    It is one ahead of the clock at most. Servers that end for other reasons may do so one after the
    other within a second, and a page that many read may be sent to each of them in turn: three
    slots still take more than a second.
    """
    slot = window_of(at_s)
    if known_slot != NO_WINDOW:
        slot = max(slot, min(known_slot, slot) + 1)
    return make_crash_id(slot, server_id)


def make_caller_crash_id(at_s: float, known_slot: int, server_id: str) -> int:
    """Return the same under a try of one caller, whose tries may follow one another at once.

    A server that is back under its id ends again under such a try: that is another end.
    """
    slot = window_of(at_s)
    if known_slot < slot:
        return make_crash_id(slot, server_id)
    return make_crash_id(known_slot + 1, f"{server_id}/{known_slot + 1}")


def last_window(ends: Iterable[int]) -> int:
    """Return the last slot in which a server ended; NO_SLOT: none did."""
    return max((end >> SERVER_BITS for end in ends), default=NO_WINDOW)


def count_crashes(ends: Iterable[int]) -> int:
    """Return in how many slots a server ended, each end counted in the first of its slots."""
    slots: set[int] = set()
    counted: dict[int, int] = {}
    for end in sorted(ends):
        slot, server = end >> SERVER_BITS, end % (1 << SERVER_BITS)
        if server not in counted or slot - counted[server] >= LATE_DETECTION_WINDOWS:
            counted[server] = slot
            slots.add(slot)
    return len(slots)


def first_crash_per_window(ends: Iterable[int]) -> frozenset[int]:
    """Return one end of each of the first MAX_SLOTS slots; the same wherever the same are known."""
    by_slot: dict[int, int] = {}
    for end in sorted(ends):
        by_slot.setdefault(end >> SERVER_BITS, end)
    return frozenset(list(by_slot.values())[:MAX_WINDOWS])
