"""The queues of a gateway: of the servers that it dispatches for, and of all others."""

from collections import Counter
from collections.abc import Callable

from indigoworks.gateway.dispatch_queue import DispatchQueue
from indigoworks.gateway.placer import Placement
from indigoworks.gateway.server_stats import RequestStart
from indigoworks.gateway.waiting_request import WaitingRequest
from indigoworks.servers.server_record import ServerRecord


class GatewayQueues:
    """Places a request for a key exactly if this process is the dispatcher of its owner, or was
    selected as such by the peer that passed the request on.

    A request stays in its queue if the owner of its key changes: that queue then sends it to the
    new owner.

    :param general: places all other requests.
    :param dispatched: gives each server no more requests than it has slots.
    :param is_dispatcher: returns whether this process is the dispatcher for a key of a service.
    """

    def __init__(
        self,
        general: DispatchQueue,
        dispatched: DispatchQueue,
        is_dispatcher: Callable[[str, int], bool],
    ) -> None:
        self._general = general
        self._dispatched = dispatched
        self._is_dispatcher = is_dispatcher
        self._placed: set[WaitingRequest] = set()

    async def place(self, entry: WaitingRequest) -> Placement:
        """Return a server with capacity, or a refusal; see `DispatchQueue.place`."""
        if not self._is_dispatched(entry):
            return await self._general.place(entry)
        placement = await self._dispatched.place(entry)
        if isinstance(placement, ServerRecord):
            self._placed.add(entry)
        return placement

    def _is_dispatched(self, entry: WaitingRequest) -> bool:
        if entry.key is None:
            return False
        return entry.is_dispatched or self._is_dispatcher(entry.service, entry.key)

    def release(self, entry: WaitingRequest, started: RequestStart) -> None:
        """Release the server of a request that was sent at `started`."""
        if entry in self._placed:
            self._placed.discard(entry)
            self._dispatched.release(entry, started)
        else:
            self._general.release(entry, started)

    def capacity_changed(self) -> None:
        """Place or refuse waiting requests after a change of owners or servers."""
        self._general.capacity_changed()
        self._dispatched.capacity_changed()

    def waiting_by_service(self) -> dict[str, int]:
        """Return the number of waiting requests, by service that ever had one."""
        waiting = Counter(self._general.waiting_by_service())
        waiting.update(self._dispatched.waiting_by_service())
        return dict(waiting)
