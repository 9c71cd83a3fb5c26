"""Weighted fair queue over the groups that wait for the same slots."""

from collections.abc import Iterator
from heapq import merge
from math import floor
from typing import Generic

from indigoworks.common.group_queue import EntryT, GroupQueue

MIN_COST_S = 1e-6
"""Cost by which requests are taken to differ at least where their order is foretold."""


class FairQueue(Generic[EntryT]):
    """Start-time fair queueing by seconds of a slot.

    Each group has a virtual time that advances by cost / weight; the waiting group with the
    smallest one goes next. An idle group keeps no credit: when it returns it starts at the queue's
    virtual time, so what it left unused was lent to the others, and it has its share back at once.
    The cost is charged by an estimate when a slot is given and corrected when it is given back, so
    a group with slow requests gets no more slot time than one with fast requests.
    """

    def __init__(self) -> None:
        self._groups: dict[str, GroupQueue[EntryT]] = {}
        self._virtual_time = 0.0
        self._length = 0
        self._in_progress = 0

    def __len__(self) -> int:
        return self._length

    def is_idle(self) -> bool:
        """Tell whether nothing waits and no slot is held."""
        return not self._length and not self._in_progress

    def length_of(self, group: str) -> int:
        """Return how many requests of `group` wait."""
        found = self._groups.get(group)
        return 0 if found is None else len(found.entries)

    def share_of(self, group: str, weight: float) -> float:
        """Return the share of the slots that `group` gets while all waiting groups want theirs."""
        others = sum(
            each.weight
            for each in self._groups.values()
            if each.name != group and (each.entries or each.in_progress)
        )
        return weight / (weight + others)

    def push(self, entry: EntryT, is_first: bool = False) -> None:
        """Add a waiting request, at the end of its group or (`is_first`) at its head.

        One that arrived before others of its group, at another queue, goes before them.
        """
        group = self._groups.get(entry.group)
        if group is None:
            group = self._groups[entry.group] = GroupQueue(entry.group)
        group.weight = entry.weight
        group.concurrency_limit = entry.concurrency_limit
        if not group.entries:
            group.virtual_time = max(group.virtual_time, self._virtual_time)
        is_late = bool(group.entries) and next(reversed(group.entries)).sequence > entry.sequence
        group.entries[entry] = None
        if is_first:
            group.entries.move_to_end(entry, last=False)
        elif is_late:
            group.sort()
        self._length += 1

    def remove(self, entry: EntryT) -> None:
        """Take out a request that waits no longer."""
        del self._groups[entry.group].entries[entry]
        self._length -= 1

    def head(self) -> EntryT | None:
        """Return the request whose turn it is; None when no group may go."""
        eligible = [group for group in self._groups.values() if group.is_eligible()]
        if not eligible:
            return None
        return next(iter(min(eligible, key=lambda each: (each.virtual_time, each.name)).entries))

    def grant_next(self, estimated_cost_s: float) -> EntryT | None:
        """Give a slot to the next request; None when no group may go."""
        entry = self.head()
        if entry is not None:
            self.grant(entry, estimated_cost_s)
        return entry

    def grant(self, entry: EntryT, estimated_cost_s: float) -> None:
        """Give a slot to a waiting request."""
        group = self._groups[entry.group]
        self.remove(entry)
        self._virtual_time = max(self._virtual_time, group.virtual_time)
        group.virtual_time += estimated_cost_s / group.weight
        group.in_progress += 1
        self._in_progress += 1
        entry.charged_s = estimated_cost_s

    def release(self, entry: EntryT, cost_s: float) -> None:
        """Take the slot of `entry` back and charge what it cost in fact."""
        group = self._groups[entry.group]
        group.in_progress -= 1
        self._in_progress -= 1
        group.virtual_time += (cost_s - entry.charged_s) / group.weight
        is_owed_nothing = group.virtual_time <= self._virtual_time
        if not group.entries and not group.in_progress and is_owed_nothing:
            # Where it would begin again is where a new group begins.
            del self._groups[entry.group]

    def in_order(self, cost_s: float) -> Iterator[EntryT]:
        """Yield what waits in the order in which it goes if each request costs `cost_s`."""
        lines = [_tagged(group, cost_s) for group in self._groups.values() if group.entries]
        for _, _, entry in merge(*lines, key=lambda each: each[:2]):
            yield entry

    def count_before_last(self, name: str, cost_s: float) -> int:
        """Return how many go before the last of group `name`, if each request costs `cost_s`.

        The work grows with the groups that wait, not with the requests.
        """
        own = self._groups[name]
        before = len(own.entries) - 1
        tag = own.virtual_time + before * max(cost_s, MIN_COST_S) / own.weight
        for other in self._groups.values():
            if other is not own and other.entries:
                step = max(cost_s, MIN_COST_S) / other.weight
                count = floor((tag - other.virtual_time) / step) + 1
                before += min(max(count, 0), len(other.entries))
        return before


def _tagged(group: GroupQueue[EntryT], cost_s: float) -> Iterator[tuple[float, str, EntryT]]:
    step = max(cost_s, MIN_COST_S) / group.weight
    for position, entry in enumerate(group.entries):
        yield group.virtual_time + position * step, group.name, entry
