"""A request that waits for a free place at a server."""

import asyncio
from dataclasses import dataclass

from indigoworks.gateway.refusal import Refusal
from indigoworks.servers.server_record import ServerRecord


@dataclass(eq=False, slots=True)
class WaitingRequest:
    """One entry of a queue.

    :ivar priority: 0 is the most urgent.
    :ivar sequence: order of arrival.
    :ivar tried: servers that it must not go to again.
    :ivar give_up_s: clock reading at which it is refused unless it has got a place.
    """

    service: str
    key: int | None
    priority: int
    sequence: int
    tried: frozenset[str]
    give_up_s: float
    limit_s: float
    placed: asyncio.Future[ServerRecord | Refusal]
