"""A request that a broker has accepted, and the slot granted to it."""

import asyncio
from dataclasses import dataclass

from indigoworks.broker.broker_queue import BrokerQueue
from indigoworks.broker.slot_reply import SlotReply
from indigoworks.gateway.server_stats import RequestStart
from indigoworks.gateway.waiting_request import WaitingRequest
from indigoworks.servers.server_record import ServerRecord


@dataclass(eq=False)
class Reservation:
    """One request from its arrival until its slot is released.

    :ivar until_s: clock reading at which it expires.
    :ivar reply: the last reply, which is sent again for a duplicate request.
    :ivar task: waits for the slot.
    :ivar server: server of the granted slot; None before the grant.
    :ivar started: measurement that began with the grant.
    """

    queue: BrokerQueue
    entry: WaitingRequest
    until_s: float
    reply: SlotReply
    task: asyncio.Task[None] | None = None
    server: ServerRecord | None = None
    started: RequestStart | None = None
