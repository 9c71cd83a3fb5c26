"""A request that waits for a server with capacity."""

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
"""Rank of a due scheduled retry, which goes before all other requests."""


@dataclass(eq=False, kw_only=True)
class WaitingRequest(FairEntry):
    """Queue entry of one request, up to its placement at a server and its end.

    :ivar key: key as a number; None for a service without keys.
    :ivar priority: rank, the lowest goes first: 0 is the most urgent of a route,
        SCHEDULED_RETRY_RANK precedes it, and requests that can only be late go last.
    :ivar tried: servers chosen for its earlier attempts, which are excluded.
    :ivar limit_s: clock reading up to which it is worth waiting for its response.
    :ivar deadline_s: clock reading by which it has ended in any case.
    :ivar content: the request; None if it came from another gateway.
    :ivar caller_mark: hash that identifies the caller's attempts of it; 0 if unknown.
    :ivar connected: checksums of the ids of servers to which the gateway that sends it has an idle
        connection, the preferred one first.
    :ivar is_scheduled_retry: whether it is a due scheduled retry.
    :ivar is_dispatched: a peer selected this gateway as dispatcher of its owner.
    :ivar is_repeatable: it may safely run more than once, and so be a trial at an ejected server.
    :ivar held_until_s: clock reading up to which it is held for a free slot; None: it was not.
    :ivar placement: future of its server, or of its refusal.
    :ivar queue: queue in which it waits or was placed; None while it waits for an owner.
    """

    service: str
    key: int | None
    priority: int
    tried: frozenset[str]
    limit_s: float
    deadline_s: float = float("inf")
    content: ClientRequest | None = None
    caller_mark: int = 0
    connected: tuple[int, ...] = ()
    is_scheduled_retry: bool = False
    is_dispatched: bool = False
    is_repeatable: bool = False
    held_until_s: float | None = None
    placement: asyncio.Future[ServerRecord | Refusal] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )
    queue: "PlacementQueue | None" = None

    def mark_scheduled_retry(self) -> None:
        """Mark it as a due scheduled retry, which goes first."""
        self.is_scheduled_retry = True
        self.priority = SCHEDULED_RETRY_RANK

    def reset_placement(self) -> None:
        """Allow a refused request to be placed again."""
        self.placement = asyncio.get_running_loop().create_future()

    @property
    def owner_id(self) -> str:
        """Return the owner that it waits for; empty for any server, or while there is no owner."""
        return "" if self.queue is None else self.queue.server_id or ""
