"""This gateway's share of the retry budget of all gateways."""

from collections import deque

from indigoworks.common.clock import Clock
from indigoworks.exchange.peer_directory import PeerDirectory
from indigoworks.exchange.peer_view import PeerView

SAFETY = 0.6
"""Share of the budget that is used, since peers' reports lag and machines come and go."""

NEW_PROCESS_SHARE = 0.4
"""Share of that for a process younger than the window, whose predecessor may have used the rest."""


class LocalRetryBudget:
    """Limits the retries to each service within a sliding window.

    Allows `ratio` times this gateway's own requests in the window, plus an equal share of `slack`.

    :param ratio: retries per request.
    :param window_s: length of the window, in seconds.
    :param slack: retries that all gateways together may send in addition.
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
        """Use another budget from now on."""
        if window_s > self._window_s:
            # Retries before the old window are no longer known, as after a start.
            self._started_s = self._clock.now()
        self._ratio = ratio
        self._window_s = window_s
        self._slack = slack

    def record_request(self, service: str) -> None:
        """Record a request of a caller."""
        self._requests.setdefault(service, deque()).append(self._clock.now())

    def try_consume(self, service: str) -> bool:
        """Consume one retry; False if the share of the window is used up."""
        retries = self._retries.setdefault(service, deque())
        if self._count(retries) + 1 > self.allowed(service):
            return False
        retries.append(self._clock.now())
        return True

    def services(self) -> list[str]:
        """Return the services that had any request."""
        return list(self._requests)

    def used(self, service: str) -> int:
        """Return the number of retries within the window."""
        return self._count(self._retries.get(service, deque()))

    def allowed(self, service: str) -> float:
        """Return the number of retries that the window allows."""
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
