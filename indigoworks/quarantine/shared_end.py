"""Ends of servers under tries of any caller, counted so that one cause counts once."""

from collections.abc import Iterable

from indigoworks.exchange.server_load import server_checksum

SLOT_S = 1.0
"""Ends within one slot of the store's steady clock count once. Servers of a service or a zone end
together for other reasons, with a page in hand at many of them that many read. A request that comes
often still meets three slots within 3 s of its first end, and the users allow three runs later than
3 s after the third."""

SERVER_BITS = 32
MAX_SLOTS = 8
"""Slots that are kept of one request; more tell nothing new."""


def make_end(slot: int, server_id: str) -> int:
    """Return the number that stands for the end of a server within a slot: the same at all gateways
    that saw it in this slot."""
    return slot << SERVER_BITS | server_checksum(server_id)


def count_independent(ends: Iterable[int]) -> int:
    """Return how many of the ends are of other slots and of other servers.

    A server that falls silent is noticed in one slot here and in the next one there.
    """
    known = tuple(ends)
    slots = {each >> SERVER_BITS for each in known}
    servers = {each % (1 << SERVER_BITS) for each in known}
    return min(len(slots), len(servers))


def first_of_slots(ends: Iterable[int]) -> frozenset[int]:
    """Return one end of each of the first MAX_SLOTS slots; the same wherever the same are known."""
    by_slot: dict[int, int] = {}
    for end in sorted(ends):
        by_slot.setdefault(end >> SERVER_BITS, end)
    return frozenset(list(by_slot.values())[:MAX_SLOTS])
