"""Queue of the requests that wait for the same servers."""

from collections.abc import Iterator

from indigoworks.common.fair_queue import FairQueue
from indigoworks.gateway.waiting_request import WaitingRequest

REVIEWS_PER_CHANGE = 16
"""Waiting requests reviewed per change on average, which bounds the work per change."""


class PlacementQueue:
    """Orders requests by priority, then fairly among groups, then by arrival within a group.

    :ivar service: service of the servers that the requests wait for.
    :ivar server_id: the key owner that they wait for; None for any server of the service.
    """

    def __init__(self, service: str, server_id: str | None) -> None:
        self.service = service
        self.server_id = server_id
        self._queues: dict[int, FairQueue[WaitingRequest]] = {}
        self._changes = 0

    @property
    def name(self) -> tuple[str, str | None]:
        """Return the service, and the owner if the queue is for an owner of keys."""
        return self.service, self.server_id

    def __len__(self) -> int:
        return sum(map(len, self._queues.values()))

    def is_idle(self) -> bool:
        """Return whether no request waits, and none that was placed is still in progress."""
        return all(each.is_idle() for each in self._queues.values())

    def push(self, entry: WaitingRequest) -> None:
        """Add a request."""
        queue = self._queues.get(entry.priority)
        if queue is None:
            queue = self._queues[entry.priority] = FairQueue()
            self._queues = dict(sorted(self._queues.items()))
        queue.push(entry)
        entry.queue = self

    def remove(self, entry: WaitingRequest) -> None:
        """Remove a waiting request."""
        self._queues[entry.priority].remove(entry)
        entry.queue = None

    def head(self) -> WaitingRequest | None:
        """Return the next request, or None."""
        for queue in self._queues.values():
            if queue:
                return queue.head()
        return None

    def grant(self, entry: WaitingRequest, cost_s: float) -> None:
        """Charge a placed request with its expected slot seconds."""
        self._queues[entry.priority].grant(entry, cost_s)

    def settle(self, entry: WaitingRequest, cost_s: float) -> None:
        """Replace the charge of a finished request by its actual slot seconds."""
        self._queues[entry.priority].release(entry, cost_s)

    def in_order(self, cost_s: float) -> Iterator[WaitingRequest]:
        """Yield the waiting requests in the order of placement if each costs `cost_s`."""
        for queue in self._queues.values():
            yield from queue.in_order(cost_s)

    def count_before_last(self, entry: WaitingRequest, cost_s: float) -> int:
        """Return the number of requests before the last one of `entry`'s group and priority."""
        before = 0
        for priority, queue in self._queues.items():
            if priority == entry.priority:
                return before + queue.count_before_last(entry.group, cost_s)
            before += len(queue)
        return before

    def is_review_due(self) -> bool:
        """Count a change, and return whether all waiting requests are to be reviewed.

        Short queues are reviewed after each change, long ones after a number of changes that is
        proportional to their length.
        """
        self._changes += 1
        if self._changes * REVIEWS_PER_CHANGE < len(self):
            return False
        self._changes = 0
        return True
