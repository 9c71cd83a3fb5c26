"""A request that waits for a free place at a server."""

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from indigoworks.common.fair_entry import FairEntry
from indigoworks.gateway.client_request import ClientRequest
from indigoworks.gateway.refusal import Refusal
from indigoworks.servers.server_record import ServerRecord

if TYPE_CHECKING:
    from indigoworks.gateway.placement_queue import PlacementQueue


SCHEDULED_RETRY_RANK = -1
"""Rank of a request that comes at the turn which its caller was promised: it waits for nobody."""


@dataclass(eq=False, kw_only=True)
class WaitingRequest(FairEntry):
    """One request on its way to a place at a server.

    :ivar key: number of the key; None where servers of the service own no keys.
    :ivar priority: rank, 0 is the most urgent; requests that can only be late come after all.
    :ivar tried: servers that it must not go to again.
    :ivar limit_s: clock reading by which its answer is worth waiting for.
    :ivar deadline_s: clock reading at which it has ended in any case.
    :ivar content: what its caller sent; None: it came from another gateway.
    :ivar caller_mark: tells its caller's tries of it from others; 0: unknown.
    :ivar has_turn: it comes at a turn that its caller was promised.
    :ivar placed: the server that has room for it, or why there is none.
    :ivar line: where it waits, or holds a place; None: it waits for an owner.
    """

    service: str
    key: int | None
    priority: int
    tried: frozenset[str]
    limit_s: float
    deadline_s: float = float("inf")
    content: ClientRequest | None = None
    caller_mark: int = 0
    is_scheduled_retry: bool = False
    placement: asyncio.Future[ServerRecord | Refusal] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )
    queue: "PlacementQueue | None" = None

    def mark_scheduled_retry(self) -> None:
        """Take note that it comes at the turn which its caller was promised."""
        self.is_scheduled_retry = True
        self.priority = SCHEDULED_RETRY_RANK

    def reset_placement(self) -> None:
        """Let a request that was refused be placed anew."""
        self.placement = asyncio.get_running_loop().create_future()

    @property
    def owner_id(self) -> str:
        """Return the server that it waits for; empty: any of its service, or an owner to come."""
        return "" if self.queue is None else self.queue.server_id or ""
