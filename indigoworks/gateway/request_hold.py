"""Holds requests here while all slots of their servers are probably taken."""

from indigoworks.common.clock import Clock
from indigoworks.gateway.placement_queue import PlacementQueue
from indigoworks.gateway.queue_timers import QueueTimers
from indigoworks.gateway.server_selector import ServerSelector
from indigoworks.gateway.waiting_request import WaitingRequest
from indigoworks.servers.server_record import ServerRecord

HOLD_POLL_S = 0.02
"""Interval at which a held request is looked at again; new reports arrive every 0.05 s."""


class RequestHold:
    """Selects servers, but lets a request wait for the next free slot for a bounded time.

    A request that waits here can go to the first server that becomes free; at a server it cannot.
    """

    def __init__(self, selector: ServerSelector, timers: QueueTimers, clock: Clock) -> None:
        self._selector = selector
        self._timers = timers
        self._clock = clock

    def select(
        self, queue: PlacementQueue, entry: WaitingRequest, servers: list[ServerRecord]
    ) -> ServerRecord | None:
        """Return the best of `servers`; None: the request is held, and a timer serves the queue,
        since no event announces the reports of peers."""
        best = self._selector.select(servers, entry.connected)
        hold_s = self._selector.hold_s(best)
        if not hold_s:
            return best
        now_s = self._clock.now()
        if entry.held_until_s is None:
            # A request that is due soon is sent: its answer must still arrive within the limit.
            entry.held_until_s = min(now_s + hold_s, entry.limit_s - hold_s)
        left_s = entry.held_until_s - now_s
        if left_s <= 0:
            return best
        self._timers.schedule(queue, min(left_s, HOLD_POLL_S))
        return None
