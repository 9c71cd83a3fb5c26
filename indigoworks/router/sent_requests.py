"""Memory of the non-repeatable requests that were sent to back ends."""

from collections import OrderedDict

from indigoworks.common.clock import Clock

RETENTION_S = 300.0
"""Seconds for which a request id is remembered."""

MAX_ENTRIES = 100_000
"""Request ids remembered at most; the oldest are forgotten first."""


class SentRequests:
    """Keeps one dispatcher from sending the same non-repeatable request twice.

    The memory is that of one process: it ends with it, after SENT_MEMORY_S, or when
    SENT_MEMORY_ENTRIES newer ids have come. Nothing relies on it alone: no part of the system
    sends a non-repeatable request again after it may have run.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._sent: OrderedDict[str, float] = OrderedDict()

    def claim(self, request_id: str) -> bool:
        """Note that the request is about to be sent; False when it was sent before."""
        self._evict_old()
        if request_id in self._sent:
            return False
        self._sent[request_id] = self._clock.now()
        return True

    def release(self, request_id: str) -> None:
        """Note that the request provably did not run, so that it may be sent again."""
        self._sent.pop(request_id, None)

    def _evict_old(self) -> None:
        oldest_kept_s = self._clock.now() - RETENTION_S
        while self._sent:
            request_id, sent_at_s = next(iter(self._sent.items()))
            if sent_at_s >= oldest_kept_s and len(self._sent) < MAX_ENTRIES:
                return
            del self._sent[request_id]
