"""A request queued for a slot of a back end."""

import asyncio
from dataclasses import dataclass, field

from indigoworks.common.fair_entry import FairEntry


@dataclass(eq=False)
class QueueEntry(FairEntry):
    """Queue entry of one request.

    :ivar has_slot: the request holds a slot, which must be released in the end.
    :ivar granted: set together with `has_slot`.
    """

    has_slot: bool = False
    granted: asyncio.Event = field(default_factory=asyncio.Event)
