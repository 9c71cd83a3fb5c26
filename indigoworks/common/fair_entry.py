"""What a fair queue needs to know of a waiting request."""

from dataclasses import dataclass


@dataclass(eq=False)
class FairEntry:
    """One request that waits for a slot; parts that queue requests extend it.

    :ivar group: group that it is charged to.
    :ivar weight: weight of the group.
    :ivar concurrency_limit: requests of the group that may be in progress; None: no limit.
    :ivar charged: cost charged when the slot was given, in seconds of a slot.
    :ivar sequence: order of arrival, where requests can come in late from another queue.
    """

    group: str
    weight: float
    concurrency_limit: int | None = None
    charged_s: float = 0.0
    sequence: int = 0
