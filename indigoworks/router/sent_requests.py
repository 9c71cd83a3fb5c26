"""Ids of the non-repeatable requests that were sent to back ends."""

from collections import OrderedDict

from indigoworks.common.clock import Clock

RETENTION_S = 300.0
"""Seconds for which a request id is kept."""

MAX_ENTRIES = 100_000
"""Maximum number of ids; the oldest are evicted first."""


class SentRequests:
    """Prevents the dispatchers of a router from sending a non-repeatable request twice.

    Ids are kept in memory for RETENTION_S, unless MAX_ENTRIES newer ones evict them. This is
    an additional safeguard: no component resends a non-repeatable request that may have run.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._sent: OrderedDict[str, float] = OrderedDict()

    def claim(self, request_id: str) -> bool:
        """Record that the request is about to be sent; return False if it was sent before."""
        self._evict_old()
        if request_id in self._sent:
            return False
        self._sent[request_id] = self._clock.now()
        return True

    def release(self, request_id: str) -> None:
        """Remove a request that provably did not run, so that it may be sent again."""
        self._sent.pop(request_id, None)

    def _evict_old(self) -> None:
        oldest_kept_s = self._clock.now() - RETENTION_S
        while self._sent:
            request_id, sent_at_s = next(iter(self._sent.items()))
            if sent_at_s >= oldest_kept_s and len(self._sent) < MAX_ENTRIES:
                return
            del self._sent[request_id]
