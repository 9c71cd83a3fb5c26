"""Mean of what other gateways have in flight at each server."""

from math import exp

from indigoworks.common.clock import Clock

SAMPLE_S = 0.05
"""Shortest time between two samples: the period of reports in a small group."""

MEMORY_S = 1.0
"""Time constant of the mean."""


class UsualLoads:
    """Samples the reported loads when asked, at most once per SAMPLE_S."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._means: dict[str, float] = {}
        self._sampled_s: dict[str, float] = {}

    def mean(self, server_id: str, reported: int) -> float:
        """Return the mean count of others at a server, given their newest count."""
        now_s = self._clock.now()
        sampled_s = self._sampled_s.get(server_id)
        if sampled_s is None:
            self._means[server_id] = float(reported)
            self._sampled_s[server_id] = now_s
        elif now_s - sampled_s >= SAMPLE_S:
            kept = exp((sampled_s - now_s) / MEMORY_S)
            self._means[server_id] = reported + (self._means[server_id] - reported) * kept
            self._sampled_s[server_id] = now_s
        return self._means[server_id]

    def forget(self, server_id: str) -> None:
        """Drop the mean of a server that left."""
        self._means.pop(server_id, None)
        self._sampled_s.pop(server_id, None)
