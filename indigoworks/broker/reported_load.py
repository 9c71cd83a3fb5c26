"""What a broker counts at its servers beside the slots that it granted itself."""

from collections.abc import Callable
from dataclasses import dataclass

from indigoworks.common.clock import Clock
from indigoworks.exchange.load_view import LoadView
from indigoworks.servers.server_word import ServerWord

TAKEOVER_S = 0.25
"""A process that begins to act as broker knows of no slot that another one granted: for so long
it goes by the gateways' reports too. Most requests have ended by then, and reports, which are 0.1
to 0.3 s old at 79 gateways, would keep slots empty that are free again."""


SERVER_LOAD_VALID_S = 0.2
"""A server's word on its load counts for so long: a request or two later it says something else."""


@dataclass(frozen=True, slots=True)
class _Surplus:
    requests: int
    until_s: float


class ReportedLoad:
    """Implements `LoadView` for a broker.

    :param reported: requests in flight by the reports of all gateways, this one included.
    :param given: returns the slots that this broker has granted at a server.
    """

    def __init__(
        self,
        reported: Callable[[str], int],
        peers: LoadView,
        granted: Callable[[str], int],
        clock: Clock,
    ) -> None:
        self._reported = reported
        self._peers = peers
        self._granted = granted
        self._clock = clock
        self._began_s = clock.now()
        self._is_taking_over = True
        self._surplus: dict[str, _Surplus] = {}
        self._peer_times_s: dict[str, float | None] = {}

    def start_takeover(self) -> None:
        """Take note that this process acts as broker from now on."""
        self._began_s = self._clock.now()
        self._is_taking_over = True

    def refresh(self) -> None:
        """Go by the own count alone once what others granted has ended, and by new times of peers:
        the mean over 78 of them for each server and request took a tenth of a broker's time."""
        self._peer_times_s.clear()
        if self._clock.now() - self._began_s > TAKEOVER_S:
            self._is_taking_over = False

    def record_server_load(self, server_id: str, word: ServerWord) -> None:
        """Take a server's word: what it has beyond the slots granted here, others have sent."""
        requests = word.running + word.waiting - self._granted(server_id)
        if requests > 0:
            self._surplus[server_id] = _Surplus(requests, self._clock.now() + SERVER_LOAD_VALID_S)
        else:
            self._surplus.pop(server_id, None)

    def forget(self, server_id: str) -> None:
        """Forget a server that left."""
        self._surplus.pop(server_id, None)

    def in_flight(self, server_id: str) -> int:
        """Return the requests in flight that have no slot of this broker, as far as they count."""
        if self._is_taking_over:
            return max(0, self._reported(server_id) - self._granted(server_id))
        surplus = self._surplus.get(server_id)
        if surplus is None or self._clock.now() >= surplus.until_s:
            return 0
        return surplus.requests

    def service_s(self, server_id: str) -> float | None:
        """Return the seconds that a request takes at a server as peers measured it; None: none."""
        if server_id not in self._peer_times_s:
            self._peer_times_s[server_id] = self._peers.service_s(server_id)
        return self._peer_times_s[server_id]
