"""A waiting request, as the fair queue sees it."""

from dataclasses import dataclass


@dataclass(eq=False)
class FairEntry:
    """One request that waits for a slot; code that queues requests extends it.

    :ivar group: group that it is charged to.
    :ivar weight: weight of the group.
    :ivar concurrency_limit: requests of the group that may be in progress; None: no limit.
    :ivar charged_s: cost charged when the slot was granted, in seconds of a slot.
    :ivar sequence: order of arrival; used where requests can move here from another queue.
    """

    group: str
    weight: float
    concurrency_limit: int | None = None
    charged_s: float = 0.0
    sequence: int = 0
