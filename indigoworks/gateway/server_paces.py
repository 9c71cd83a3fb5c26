"""How fast servers work at present, by their own word."""

from dataclasses import dataclass

from indigoworks.common.clock import Clock

FRESH_S = 0.15
"""A server's word on its pace counts for so long. Where servers share their machines a slow phase
lasts about 0.4 s: computed, a word that is 0.15 s old still holds in five cases of eight."""

SMOOTHING = 0.05
"""Weight of the newest word in the mean pace of a server."""


@dataclass(frozen=True, slots=True)
class _Pace:
    newest: float
    at_s: float
    mean: float


class ServerPaces:
    """The newest pace of each server and its mean, which the measured times already hold."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._paces: dict[str, _Pace] = {}

    def record(self, server_id: str, pace: float) -> None:
        """Take a server's word; 1: as usual, 2: work takes twice as long."""
        known = self._paces.get(server_id)
        mean = pace if known is None else known.mean + SMOOTHING * (pace - known.mean)
        self._paces[server_id] = _Pace(pace, self._clock.now(), mean)

    def forget(self, server_id: str) -> None:
        """Forget a server that left."""
        self._paces.pop(server_id, None)

    def factor(self, server_id: str) -> float:
        """Return by how much work takes longer now than on average; 1: no fresh word is known."""
        known = self._paces.get(server_id)
        if known is None or known.mean <= 0 or self._clock.now() - known.at_s > FRESH_S:
            return 1.0
        return known.newest / known.mean
