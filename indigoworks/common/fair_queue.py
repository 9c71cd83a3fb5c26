"""Weighted fair queue over the groups that wait for the same slots."""

from collections.abc import Iterator
from heapq import merge
from math import floor
from typing import Generic

from indigoworks.common.group_queue import EntryT, GroupQueue

MIN_COST_S = 1e-6
"""Smallest cost of a request in predictions of the order: with 0, all requests of a group would
have the same start tag."""


class FairQueue(Generic[EntryT]):
    """Start-time fair queueing by seconds of a slot.

    Each group has a virtual time that advances by cost / weight; the waiting group with the
    smallest one gets the next slot. An idle group keeps no credit: when it has requests again it
    starts at the queue's virtual time. Other groups have used its share meanwhile, and it gets it
    back at once. The estimated cost is charged when a slot is granted and corrected when the slot
    is released, so a group with slow requests gets no more slot time than one with fast requests.
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
        """Return the share of the slots that `group` gets while all active groups use theirs."""
        others = sum(
            each.weight
            for each in self._groups.values()
            if each.name != group and (each.entries or each.in_progress)
        )
        return weight / (weight + others)

    def push(self, entry: EntryT, is_first: bool = False) -> None:
        """Add a waiting request, at the end of its group or (`is_first`) at its head.

        A request moved here from another queue goes before later arrivals of its group.
        """
        group = self._groups.get(entry.group)
        if group is None:
            group = self._groups[entry.group] = GroupQueue(entry.group)
        group.weight = entry.weight
        group.concurrency_limit = entry.concurrency_limit
        if not group.entries:
            group.virtual_time = max(group.virtual_time, self._virtual_time)
        is_out_of_order = (
            bool(group.entries) and next(reversed(group.entries)).sequence > entry.sequence
        )
        group.entries[entry] = None
        if is_first:
            group.entries.move_to_end(entry, last=False)
        elif is_out_of_order:
            group.sort()
        self._length += 1

    def remove(self, entry: EntryT) -> None:
        """Remove a waiting request."""
        del self._groups[entry.group].entries[entry]
        self._length -= 1

    def head(self) -> EntryT | None:
        """Return the request that gets the next slot; None when no group may get one."""
        eligible = [group for group in self._groups.values() if group.is_eligible()]
        if not eligible:
            return None
        return next(iter(min(eligible, key=lambda each: (each.virtual_time, each.name)).entries))

    def grant_next(self, estimated_cost_s: float) -> EntryT | None:
        """Grant a slot to the next request and return it; None when no group may get one."""
        entry = self.head()
        if entry is not None:
            self.grant(entry, estimated_cost_s)
        return entry

    def grant(self, entry: EntryT, estimated_cost_s: float) -> None:
        """Grant a slot to a waiting request."""
        group = self._groups[entry.group]
        self.remove(entry)
        self._virtual_time = max(self._virtual_time, group.virtual_time)
        group.virtual_time += estimated_cost_s / group.weight
        group.in_progress += 1
        self._in_progress += 1
        entry.charged_s = estimated_cost_s

    def release(self, entry: EntryT, cost_s: float) -> None:
        """Release the slot of `entry` and correct the charge to its actual cost."""
        group = self._groups[entry.group]
        group.in_progress -= 1
        self._in_progress -= 1
        group.virtual_time += (cost_s - entry.charged_s) / group.weight
        has_no_debt = group.virtual_time <= self._virtual_time
        if not group.entries and not group.in_progress and has_no_debt:
            # A new group would start at the same virtual time.
            del self._groups[entry.group]

    def in_order(self, cost_s: float) -> Iterator[EntryT]:
        """Yield the waiting requests in the order of grants if each costs `cost_s`."""
        orders = [
            _with_start_tags(group, cost_s) for group in self._groups.values() if group.entries
        ]
        for _, _, entry in merge(*orders, key=lambda each: each[:2]):
            yield entry

    def count_before_last(self, name: str, cost_s: float) -> int:
        """Return how many requests precede the last one of group `name` if each costs `cost_s`.

        Runs in time proportional to the number of groups, not of requests.
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


def _with_start_tags(
    group: GroupQueue[EntryT], cost_s: float
) -> Iterator[tuple[float, str, EntryT]]:
    step = max(cost_s, MIN_COST_S) / group.weight
    for position, entry in enumerate(group.entries):
        yield group.virtual_time + position * step, group.name, entry
