"""Load of servers from other gateways, for the dispatcher of these servers."""

from collections.abc import Callable
from dataclasses import dataclass

from indigoworks.common.clock import Clock
from indigoworks.exchange.load_view import LoadView
from indigoworks.servers.self_reported_load import SelfReportedLoad

SERVER_LOAD_VALID_S = 0.2
"""Time for which a server's own report counts: its load changes with every request or two."""


@dataclass(frozen=True, slots=True)
class _OthersLoad:
    requests: int
    until_s: float


class DispatcherLoad:
    """Implements `LoadView`.

    At a server that this process dispatches for, the requests of others are those beyond its own
    which the server reports, for SERVER_LOAD_VALID_S, and otherwise those that the reports of live
    gateways name (at most 1 s old). At other servers the reports count.

    :param is_dispatched: returns whether this process is the dispatcher of a server.
    :ivar granted: returns the requests in flight from this process to a server.
    """

    def __init__(self, peers: LoadView, is_dispatched: Callable[[str], bool], clock: Clock) -> None:
        self._peers = peers
        self._is_dispatched = is_dispatched
        self._clock = clock
        self._known: dict[str, _OthersLoad] = {}
        self.granted: Callable[[str], int] = _none

    def record_server_load(self, server_id: str, server_load: SelfReportedLoad) -> None:
        """Record a server's own report; the request that it came with still counts as in flight."""
        if not self._is_dispatched(server_id):
            return
        requests = server_load.running + server_load.waiting - self.granted(server_id)
        until_s = self._clock.now() + SERVER_LOAD_VALID_S
        self._known[server_id] = _OthersLoad(max(0, requests), until_s)

    def in_flight(self, server_id: str) -> int:
        """Return the requests in flight to a server from other gateways."""
        known = self._known.get(server_id) if self._known else None
        if known is not None:
            if self._clock.now() < known.until_s:
                return known.requests
            del self._known[server_id]
        return self._peers.in_flight(server_id)

    def service_s(self, server_id: str) -> float | None:
        """Return the service time measured by peers, in seconds; None: unknown."""
        return self._peers.service_s(server_id)

    def load_age_s(self) -> float:
        """Return the mean age of the reports of live gateways."""
        return self._peers.load_age_s()


def _none(server_id: str) -> int:
    """Default of a callback until it is set."""
    return 0
