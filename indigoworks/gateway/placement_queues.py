"""Waiting requests of all services, by what they wait for."""

from collections.abc import Iterable

from indigoworks.gateway.placement_queue import PlacementQueue
from indigoworks.gateway.waiting_request import WaitingRequest
from indigoworks.servers.server_record import ServerRecord


class PlacementQueues:
    """Holds a queue per service, one per owner of keys, and the requests without a ready owner."""

    def __init__(self) -> None:
        self._queues: dict[tuple[str, str | None], PlacementQueue] = {}
        self._ownerless: dict[str, dict[WaitingRequest, None]] = {}

    def add(self, entry: WaitingRequest, owner: ServerRecord | None) -> None:
        """Add a request to the queue of its key's owner or of its service."""
        if entry.key is not None and owner is None:
            self._ownerless.setdefault(entry.service, {})[entry] = None
            return
        name = (entry.service, None if owner is None else owner.server_id)
        queue = self._queues.get(name)
        if queue is None:
            queue = self._queues[name] = PlacementQueue(*name)
        queue.push(entry)

    def remove(self, entry: WaitingRequest) -> None:
        """Remove a waiting request."""
        queue = entry.queue
        if queue is None:
            del self._ownerless[entry.service][entry]
            return
        queue.remove(entry)
        self.drop_if_idle(queue)

    def move_to_end(self, entry: WaitingRequest) -> None:
        """Move a request without a ready owner behind all others of its service."""
        ownerless = self._ownerless.get(entry.service, {})
        if entry in ownerless:
            ownerless[entry] = ownerless.pop(entry)

    def drop_if_idle(self, queue: PlacementQueue) -> None:
        """Drop a queue without waiting requests and without placed ones in progress."""
        if queue.is_idle():
            self._queues.pop((queue.service, queue.server_id), None)

    def is_empty(self) -> bool:
        """Return whether no request waits, and none that was placed is in progress."""
        return not self._queues and not any(self._ownerless.values())

    def all(self) -> list[PlacementQueue]:
        """Return all queues."""
        return list(self._queues.values())

    def of_service(self, service: str) -> list[PlacementQueue]:
        """Return the queues of a service."""
        return [each for each in self._queues.values() if each.service == service]

    def all_ownerless(self) -> list[WaitingRequest]:
        """Return the requests without a ready owner."""
        return [entry for entries in self._ownerless.values() for entry in entries]

    def ownerless(self, service: str) -> Iterable[WaitingRequest]:
        """Return the requests of a service without a ready owner, in the order to check them."""
        return self._ownerless.get(service, {})
