"""Waiting requests of one group in a fair queue."""

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from indigoworks.common.fair_entry import FairEntry

EntryT = TypeVar("EntryT", bound=FairEntry)


@dataclass
class GroupQueue(Generic[EntryT]):
    """Waiting requests of one group, oldest first, and its virtual time.

    :ivar virtual_time: slot seconds received so far, divided by the weight.
    :ivar in_progress: requests of the group that hold a slot.
    """

    name: str
    weight: float = 1.0
    concurrency_limit: int | None = None
    virtual_time: float = 0.0
    in_progress: int = 0
    entries: OrderedDict[EntryT, None] = field(default_factory=OrderedDict)

    def is_eligible(self) -> bool:
        """Tell whether the group has a waiting request that may get a slot."""
        if not self.entries:
            return False
        return self.concurrency_limit is None or self.in_progress < self.concurrency_limit

    def sort(self) -> None:
        """Sort the entries by arrival."""
        self.entries = OrderedDict.fromkeys(sorted(self.entries, key=lambda each: each.sequence))
