"""What this gateway knows of the load and health of servers."""

from dataclasses import dataclass

from indigoworks.common.clock import Clock
from indigoworks.exchange.load_view import LoadView
from indigoworks.exchange.server_load import ServerLoad, server_checksum
from indigoworks.gateway.server_paces import ServerPaces
from indigoworks.servers.self_reported_load import SelfReportedLoad
from indigoworks.servers.server_record import ServerRecord

SMOOTHING = 0.1
"""Weight of the newest measurement in the moving average of a server's time; the first few weigh
as much as each other."""

OWN_SAMPLES = 10
"""Own measurements of a server that count as much as what all peers measured."""

DEFAULT_SERVICE_S = 0.1
"""Assumed time of a request where nothing was measured."""

COLD_FACTOR = 2.0
"""A server that has just started is taken to be this much slower than it was measured."""


@dataclass(frozen=True, slots=True)
class RequestStart:
    """Start of a request; `rounds`: how many requests one slot had to work on in turn by then."""

    at_s: float
    rounds: float


class ServerStats:
    """Requests in flight, time of a request and reachability, by server."""

    def __init__(self, peers: LoadView, clock: Clock) -> None:
        self._peers = peers
        self._clock = clock
        self._in_flight: dict[str, int] = {}
        self._service_s: dict[str, float] = {}
        self._samples: dict[str, int] = {}
        self._by_service_s: dict[str, float] = {}
        self._last_answer_s: dict[str, float] = {}
        self._down: set[str] = set()
        self._paces = ServerPaces(clock)

    # ---- changes ----

    def start(self, server: ServerRecord) -> RequestStart:
        """Note that a request goes out; returns what to finish it by."""
        self._in_flight[server.server_id] = self._in_flight.get(server.server_id, 0) + 1
        rounds = max(1.0, self.in_flight(server.server_id) / server.slots)
        return RequestStart(self._clock.now(), rounds)

    def finish(self, server: ServerRecord, started: RequestStart, is_served: bool) -> None:
        """Note that a request ended; `is_served`: the server worked on it and answered."""
        count = self._in_flight.get(server.server_id, 1) - 1
        if count:
            self._in_flight[server.server_id] = count
        else:
            self._in_flight.pop(server.server_id, None)
        if not is_served:
            return
        now_s = self._clock.now()
        self._last_answer_s[server.server_id] = now_s
        measured_s = (now_s - started.at_s) / started.rounds
        self._average(self._service_s, server.server_id, measured_s)
        self._average(self._by_service_s, server.service, measured_s)

    def record_server_load(self, server_id: str, word: SelfReportedLoad) -> None:
        """Take what a server said of its load."""
        self._paces.record(server_id, word.pace)

    def record_response(self, server_id: str) -> None:
        """Note a sign of life of a server."""
        self._last_answer_s[server_id] = self._clock.now()

    def set_down(self, server_id: str, is_down: bool) -> None:
        """Note that a server cannot be reached, or that it can be again."""
        if is_down:
            self._down.add(server_id)
        else:
            self._down.discard(server_id)

    def forget(self, server_id: str) -> None:
        """Forget a server that left."""
        for known in (self._service_s, self._last_answer_s, self._samples):
            known.pop(server_id, None)
        self._down.discard(server_id)
        self._paces.forget(server_id)

    # ---- questions ----

    def has_down(self) -> bool:
        """Tell whether any server is known not to be reachable from here."""
        return bool(self._down)

    def is_down(self, server_id: str) -> bool:
        """Tell whether the server is known not to be reachable from here."""
        return server_id in self._down

    def in_flight(self, server_id: str) -> int:
        """Return the requests in flight to a server, from all gateways."""
        return self._in_flight.get(server_id, 0) + self._peers.in_flight(server_id)

    def own_in_flight_at(self, server_id: str) -> int:
        """Return the requests in flight from this gateway to a server."""
        return self._in_flight.get(server_id, 0)

    def own_in_flight(self) -> dict[str, int]:
        """Return the requests in flight from this gateway, by server that has any."""
        return dict(self._in_flight)

    def known_servers(self) -> list[str]:
        """Return the servers of which times were measured."""
        return list(self._service_s)

    def last_response_s(self, server_id: str) -> float:
        """Return when the server last answered; minus infinity: never."""
        return self._last_answer_s.get(server_id, float("-inf"))

    def service_time_s(self, server: ServerRecord) -> float:
        """Return the seconds that one request takes at a server."""
        known = self._measured_s(server.server_id)
        if known is None:
            known = self._by_service_s.get(server.service, DEFAULT_SERVICE_S)
            if server.warm_up_left_s > 0:
                known *= COLD_FACTOR
        return known * self._paces.factor(server.server_id)

    def service_time_by_id_s(self, server_id: str) -> float:
        """Return the seconds that one request takes at a server, as all gateways measured it."""
        return self._measured_s(server_id) or DEFAULT_SERVICE_S

    def mean_service_time_s(self, service: str) -> float:
        """Return the seconds that one request takes at a service, over all its servers."""
        return self._by_service_s.get(service, DEFAULT_SERVICE_S)

    def loads(self) -> tuple[ServerLoad, ...]:
        """Return what this gateway has in flight."""
        return tuple(
            ServerLoad(server_checksum(server_id), count, self._service_s.get(server_id, 0.0))
            for server_id, count in self._in_flight.items()
        )

    def _measured_s(self, server_id: str) -> float | None:
        """Return the time of a request as this gateway and its peers measured it; None: none did.

        A gateway sends each server few requests, and their times differ much.
        """
        own_s = self._service_s.get(server_id)
        peers_s = self._peers.service_s(server_id)
        if own_s is None or peers_s is None:
            return peers_s if own_s is None else own_s
        samples = min(self._samples[server_id], OWN_SAMPLES)
        return (samples * own_s + OWN_SAMPLES * peers_s) / (samples + OWN_SAMPLES)

    def _average(self, known: dict[str, float], key: str, measured_s: float) -> None:
        samples = self._samples[key] = self._samples.get(key, 0) + 1
        before_s = known.get(key, measured_s)
        known[key] = before_s + max(SMOOTHING, 1 / samples) * (measured_s - before_s)
