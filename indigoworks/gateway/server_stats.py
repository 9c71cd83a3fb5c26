"""Load, service times and reachability of servers as known to this gateway."""

from collections.abc import Callable
from dataclasses import dataclass

from indigoworks.common.clock import Clock
from indigoworks.exchange.load_view import LoadView
from indigoworks.exchange.server_load import ServerLoad, server_checksum
from indigoworks.gateway import load_estimate
from indigoworks.gateway.server_paces import ServerPaces
from indigoworks.gateway.usual_loads import UsualLoads
from indigoworks.reach.down_servers import DownServers
from indigoworks.servers.self_reported_load import SelfReportedLoad
from indigoworks.servers.server_record import ServerRecord

SMOOTHING = 0.1
"""Weight of the newest measurement in the moving average of a service time; the first few are
weighted equally."""

OWN_SAMPLES = 10
"""Number of own measurements that weigh as much as those of all peers together."""

DEFAULT_SERVICE_S = 0.1
"""Assumed service time without any measurement."""

COLD_FACTOR = 2.0
"""Factor on the service time of a server that has just started."""


@dataclass(frozen=True, slots=True)
class RequestStart:
    """Start of a request; `rounds` is the number of requests per slot at that time."""

    at_s: float
    rounds: float


class ServerStats:
    """Requests in flight, service times and reachability, by server.

    :ivar down: servers out of reach from here.
    :ivar on_server_load: called with the load that a server reported.
    """

    def __init__(self, peers: LoadView, clock: Clock, down: DownServers | None = None) -> None:
        self._peers = peers
        self._clock = clock
        self._in_flight: dict[str, int] = {}
        self._service_s: dict[str, float] = {}
        self._samples: dict[str, int] = {}
        self._mean_by_service_s: dict[str, float] = {}
        self._last_answer_s: dict[str, float] = {}
        self.down = down or DownServers()
        self._paces = ServerPaces(clock)
        self.on_server_load: Callable[[str, SelfReportedLoad], None] = _ignore_load
        self._usual = UsualLoads(clock)

    # ---- changes ----

    def start(self, server: ServerRecord) -> RequestStart:
        """Count a request as in flight; return the argument for `finish`."""
        self._in_flight[server.server_id] = self._in_flight.get(server.server_id, 0) + 1
        rounds = max(1.0, self.in_flight(server.server_id) / server.slots)
        return RequestStart(self._clock.now(), rounds)

    def finish(self, server: ServerRecord, started: RequestStart, is_served: bool) -> None:
        """Record the end of a request; `is_served`: the server ran it and answered."""
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
        self._average(self._mean_by_service_s, server.service, measured_s)

    def record_server_load(self, server_id: str, server_load: SelfReportedLoad) -> None:
        """Record the load that a server reported."""
        self._paces.record(server_id, server_load.pace)
        self.on_server_load(server_id, server_load)

    def record_response(self, server_id: str) -> None:
        """Record that a server answered."""
        self._last_answer_s[server_id] = self._clock.now()

    def forget(self, server_id: str) -> None:
        """Drop the state of a server that left."""
        for known in (self._service_s, self._last_answer_s, self._samples):
            known.pop(server_id, None)
        self.down.set_down(server_id, False)
        self._paces.forget(server_id)
        self._usual.forget(server_id)

    # ---- queries ----

    def newest_response_s(self) -> float:
        """Return when any server last answered; minus infinity if none ever did."""
        return max(self._last_answer_s.values(), default=float("-inf"))

    def has_other_answered(self, server_id: str, since_s: float) -> bool:
        """Return whether a server other than this one has answered since `since_s`."""
        answers = self._last_answer_s.items()
        return any(at_s >= since_s for each, at_s in answers if each != server_id)

    def in_flight(self, server_id: str) -> int:
        """Return the requests in flight to a server, from all gateways."""
        return self._in_flight.get(server_id, 0) + self._peers.in_flight(server_id)

    def report_age_s(self) -> float:
        """Return the mean age of the loads of others; 0 where they are exact or there are none."""
        return self._peers.load_age_s()

    def cost_s(self, server: ServerRecord, age_s: float) -> float:
        """Return the cost of one more request at a server; `age_s`: result of `report_age_s`."""
        service_s = self.service_time_s(server)
        if age_s <= 0:
            in_flight = self.in_flight(server.server_id)
            return load_estimate.least_expected_time_s(in_flight, server.slots, service_s)
        own, reported, usual = self._counts(server)
        return load_estimate.cost_s(own, reported, usual, age_s, server.slots, service_s)

    def busy_probability(self, server: ServerRecord, age_s: float) -> float:
        """Return the probability that all slots of a server are taken now."""
        own, reported, usual = self._counts(server)
        certain = load_estimate.certainty(age_s, self.service_time_s(server))
        expected = load_estimate.expected_requests(reported, usual, certain)
        return load_estimate.busy_probability(own, reported, expected, server.slots, certain)

    def expected_in_flight(self, server: ServerRecord, age_s: float) -> float:
        """Return the requests that all gateways are expected to have at a server now.

        :param age_s: result of `report_age_s`.
        """
        if age_s <= 0:
            return self.in_flight(server.server_id)
        own, reported, usual = self._counts(server)
        certain = load_estimate.certainty(age_s, self.service_time_s(server))
        return own + load_estimate.expected_requests(reported, usual, certain)

    def own_in_flight_at(self, server_id: str) -> int:
        """Return the requests in flight from this gateway to a server."""
        return self._in_flight.get(server_id, 0)

    def own_in_flight(self) -> dict[str, int]:
        """Return the requests in flight from this gateway, by server."""
        return dict(self._in_flight)

    def known_servers(self) -> list[str]:
        """Return the servers with measured service times."""
        return list(self._service_s)

    def last_response_s(self, server_id: str) -> float:
        """Return when the server last answered; minus infinity if never."""
        return self._last_answer_s.get(server_id, float("-inf"))

    def service_time_s(self, server: ServerRecord) -> float:
        """Return the expected service time of a request at a server, in seconds."""
        known = self._measured_s(server.server_id)
        if known is None:
            known = self._mean_by_service_s.get(server.service, DEFAULT_SERVICE_S)
            if server.warm_up_left_s > 0:
                known *= COLD_FACTOR
        return known * self._paces.factor(server.server_id)

    def service_time_by_id_s(self, server_id: str) -> float:
        """Return the service time at a server as measured by all gateways, in seconds."""
        return self._measured_s(server_id) or DEFAULT_SERVICE_S

    def mean_service_time_s(self, service: str) -> float:
        """Return the mean service time over all servers of a service, in seconds."""
        return self._mean_by_service_s.get(service, DEFAULT_SERVICE_S)

    def loads(self) -> tuple[ServerLoad, ...]:
        """Return this gateway's requests in flight and service times, by server with requests."""
        return tuple(
            ServerLoad(server_checksum(server_id), count, self._service_s.get(server_id, 0.0))
            for server_id, count in self._in_flight.items()
        )

    def _counts(self, server: ServerRecord) -> tuple[int, int, float]:
        """Return the requests of this gateway, those that others reported, and their mean."""
        server_id = server.server_id
        reported = self._peers.in_flight(server_id)
        return self._in_flight.get(server_id, 0), reported, self._usual.mean(server_id, reported)

    def _measured_s(self, server_id: str) -> float | None:
        """Return the service time measured by this gateway and its peers; None without any.

        A single gateway sends each server few requests, and their times vary a lot.
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


def _ignore_load(server_id: str, server_load: SelfReportedLoad) -> None:
    """Default of a callback until it is set."""
