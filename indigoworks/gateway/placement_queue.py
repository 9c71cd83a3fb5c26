"""The requests that compete for the same places."""

from collections.abc import Iterator

from indigoworks.common.fair_queue import FairQueue
from indigoworks.gateway.waiting_request import WaitingRequest

REVIEWS_PER_CHANGE = 16
"""Waiting requests that each change pays to look at again, so that work per change is bounded."""


class PlacementQueue:
    """Urgent requests first; those of one priority fairly among groups; of a group by arrival.

    :ivar service: service whose servers, or whose server, it waits for.
    :ivar server_id: the owner that it waits for; None: any server of the service.
    """

    def __init__(self, service: str, server_id: str | None) -> None:
        self.service = service
        self.server_id = server_id
        self._queues: dict[int, FairQueue[WaitingRequest]] = {}
        self._changes = 0

    @property
    def name(self) -> tuple[str, str | None]:
        """Return what it waits for: its service, and the owner, if it is that of keys."""
        return self.service, self.server_id

    def __len__(self) -> int:
        return sum(map(len, self._queues.values()))

    def is_idle(self) -> bool:
        """Tell whether nothing waits and nothing that was placed is still at work."""
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
        """Take out a request that waits no longer."""
        self._queues[entry.priority].remove(entry)
        entry.queue = None

    def head(self) -> WaitingRequest | None:
        """Return the request whose turn it is."""
        for queue in self._queues.values():
            if queue:
                return queue.head()
        return None

    def grant(self, entry: WaitingRequest, cost_s: float) -> None:
        """Charge a request that has got a place with the slot seconds expected of it."""
        self._queues[entry.priority].grant(entry, cost_s)

    def settle(self, entry: WaitingRequest, cost_s: float) -> None:
        """Charge a request that has left its place with what it took in fact."""
        self._queues[entry.priority].give_back(entry, cost_s)

    def in_order(self, cost_s: float) -> Iterator[WaitingRequest]:
        """Yield what waits in the order in which it goes if each request costs `cost_s`."""
        for queue in self._queues.values():
            yield from queue.in_order(cost_s)

    def count_before_last(self, entry: WaitingRequest, cost_s: float) -> int:
        """Return how many go before `entry`, or before the last of its group and priority."""
        before = 0
        for priority, queue in self._queues.items():
            if priority == entry.priority:
                return before + queue.count_before_last(entry.group, cost_s)
            before += len(queue)
        return before

    def is_review_due(self) -> bool:
        """Count a change; tell whether all that waits is to be judged again.

        Short lines are judged after each change, long ones after as many as pay for it.
        """
        self._changes += 1
        if self._changes * REVIEWS_PER_CHANGE < len(self):
            return False
        self._changes = 0
        return True
