"""How fast servers work at present, from their own load reports."""

from dataclasses import dataclass

from indigoworks.common.clock import Clock

FRESH_S = 0.15
"""Age up to which a server's reported pace is used. Where servers share machines, a slow phase
lasts about 0.4 s: a report that is 0.15 s old still holds in five cases of eight."""

SMOOTHING = 0.05
"""Weight of the newest report in the mean pace of a server."""


@dataclass(frozen=True, slots=True)
class _Pace:
    newest: float
    at_s: float
    mean: float


class ServerPaces:
    """Newest and mean pace of each server; measured service times already reflect the mean.

    A pace is the time that work takes relative to the usual time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._paces: dict[str, _Pace] = {}

    def record(self, server_id: str, pace: float) -> None:
        """Record a server's reported pace; 1: as usual, 2: work takes twice as long."""
        known = self._paces.get(server_id)
        mean = pace if known is None else known.mean + SMOOTHING * (pace - known.mean)
        self._paces[server_id] = _Pace(pace, self._clock.now(), mean)

    def forget(self, server_id: str) -> None:
        """Drop the state of a server that left."""
        self._paces.pop(server_id, None)

    def factor(self, server_id: str) -> float:
        """Return the ratio of the current to the mean pace; 1 without a fresh report."""
        known = self._paces.get(server_id)
        if known is None or known.mean <= 0 or self._clock.now() - known.at_s > FRESH_S:
            return 1.0
        return known.newest / known.mean
