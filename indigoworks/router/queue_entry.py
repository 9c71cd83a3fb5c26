"""A request that waits for a slot of a back end."""

import asyncio
from dataclasses import dataclass, field


@dataclass(eq=False)
class QueueEntry:
    """One waiting request.

    :ivar group: group that it is charged to.
    :ivar weight: weight of the group.
    :ivar concurrency_limit: requests of the group that may be in progress; None: no limit.
    :ivar charged: cost charged when the slot was given, in seconds of a slot.
    :ivar has_slot: a slot is held for the request; whoever sees it must give it back.
    :ivar granted: set together with `has_slot`.
    """

    group: str
    weight: float
    concurrency_limit: int | None = None
    charged: float = 0.0
    has_slot: bool = False
    granted: asyncio.Event = field(default_factory=asyncio.Event)
