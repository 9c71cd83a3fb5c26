"""Load of the services of a control group, from sampled request keys."""

from collections.abc import Iterable

from indigoworks.common.clock import Clock
from indigoworks.exchange.peer_view import PeerView
from indigoworks.ownership.load_window import LoadWindow, add_samples

BURST_WINDOW_S = 0.5
FAST_WINDOW_S = 1.5
SLOW_WINDOW_S = 8.0
"""Window lengths: a very short one for keys that have clearly just become hot, a short one for hot
keys in general, and a long one for lasting differences."""


class GroupLoad:
    """A very short, a short and a long window for each service."""

    def __init__(self, peers: PeerView, clock: Clock) -> None:
        self._peers = peers
        self._clock = clock
        self._burst: dict[str, LoadWindow] = {}
        self._fast: dict[str, LoadWindow] = {}
        self._slow: dict[str, LoadWindow] = {}

    def burst(self, service: str) -> LoadWindow:
        """Return the window for keys that became hot less than a second ago."""
        return self._window(self._burst, service, BURST_WINDOW_S)

    def fast(self, service: str) -> LoadWindow:
        """Return the window for keys that have just become hot."""
        return self._window(self._fast, service, FAST_WINDOW_S)

    def slow(self, service: str) -> LoadWindow:
        """Return the window for lasting differences."""
        return self._window(self._slow, service, SLOW_WINDOW_S)

    def collect_samples(self, services: Iterable[str]) -> None:
        """Add the samples that peers have reported since the last call, for `services`."""
        for service in services:
            self.burst(service)
            self.fast(service)
            self.slow(service)
        samples = self._peers.drain_samples()
        for windows in (self._burst, self._fast, self._slow):
            add_samples(windows, samples)
            for window in windows.values():
                window.advance()

    def _window(self, windows: dict[str, LoadWindow], service: str, length_s: float) -> LoadWindow:
        window = windows.get(service)
        if window is None:
            window = windows[service] = LoadWindow(length_s, self._clock)
        return window
