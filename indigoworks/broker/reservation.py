"""A request that a broker has taken, and the slot that it was granted."""

import asyncio
from dataclasses import dataclass

from indigoworks.broker.broker_queue import BrokerQueue
from indigoworks.broker.slot_reply import SlotReply
from indigoworks.gateway.server_stats import Measurement
from indigoworks.gateway.waiting_request import WaitingRequest
from indigoworks.servers.server_record import ServerRecord


@dataclass(eq=False)
class Reservation:
    """One request from its arrival until its slot is released.

    :ivar until_s: clock reading at which it ends in any case.
    :ivar reply: what its asker was told last; repeated when it asks again.
    :ivar task: waits for the slot.
    :ivar server: whose slot is granted; None: none is yet.
    :ivar started: when the slot was granted, for its measurement.
    """

    queue: BrokerQueue
    entry: WaitingRequest
    until_s: float
    reply: SlotReply
    task: asyncio.Task[None] | None = None
    server: ServerRecord | None = None
    started: Measurement | None = None
