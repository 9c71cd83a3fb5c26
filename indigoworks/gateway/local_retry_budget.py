"""The share of repeats that this gateway may send, of the budget of all gateways together."""

from collections import deque

from indigoworks.common.clock import Clock
from indigoworks.exchange.peer_directory import PeerDirectory
from indigoworks.exchange.peer_view import PeerView

SAFETY = 0.6
"""Share of the budget that is used: reports of peers lag, and machines come and go."""

NEW_PROCESS_SHARE = 0.4
"""Share of that for a process younger than the window: its predecessor may have used the rest."""


class LocalRetryBudget:
    """Repeats to each service within a sliding window.

    Allowed are `ratio` x this gateway's own requests in the window and an equal part of `slack`.

    :param ratio: repeats for each request.
    :param window_s: length of the window, in seconds.
    :param slack: repeats that all gateways together may send beside that.
    """

    def __init__(
        self,
        ratio: float,
        window_s: float,
        slack: float,
        peers: PeerView,
        directory: PeerDirectory,
        clock: Clock,
    ) -> None:
        self._directory = directory
        self._started_s = clock.now()
        self._ratio = ratio
        self._window_s = window_s
        self._slack = slack
        self._peers = peers
        self._clock = clock
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}
        self._most_gateways = 1

    def set_budget(self, ratio: float, window_s: float, slack: float) -> None:
        """Go by another budget from now on."""
        if window_s > self._window_s:
            # What lies before the old window is no longer known: as after a start.
            self._started_s = self._clock.now()
        self._ratio = ratio
        self._window_s = window_s
        self._slack = slack

    def record_request(self, service: str) -> None:
        """Count a request of a caller."""
        self._requests.setdefault(service, deque()).append(self._clock.now())

    def try_consume(self, service: str) -> bool:
        """Take one repeat; False when the window's share is used up."""
        repeats = self._retries.setdefault(service, deque())
        if self._count(repeats) + 1 > self.allowed(service):
            return False
        repeats.append(self._clock.now())
        return True

    def services(self) -> list[str]:
        """Return the services to which any request came."""
        return list(self._requests)

    def used(self, service: str) -> int:
        """Return the repeats within the window."""
        return self._count(self._retries.get(service, deque()))

    def allowed(self, service: str) -> float:
        """Return the repeats that the window allows."""
        requests = self._count(self._requests.get(service, deque()))
        heard = 1 + sum(1 for _ in self._peers.live_reports())
        listed = 1 + sum(1 for _ in self._directory.others())
        self._most_gateways = max(self._most_gateways, heard, listed)
        allowed = SAFETY * (self._ratio * requests + self._slack / self._most_gateways)
        if self._clock.now() - self._started_s < self._window_s:
            allowed *= NEW_PROCESS_SHARE
        return allowed

    def _count(self, times: deque[float]) -> int:
        earliest_s = self._clock.now() - self._window_s
        while times and times[0] < earliest_s:
            times.popleft()
        return len(times)
