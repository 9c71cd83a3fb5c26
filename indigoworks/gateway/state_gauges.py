"""Gauges of a gateway's current state, for the metrics page."""

from collections import Counter
from collections.abc import Mapping

from indigoworks.common.clock import Clock
from indigoworks.common.logging.line_rate_limiter import LineRateLimiter
from indigoworks.common.metrics import Labels, Metrics
from indigoworks.exchange.peer_view import PeerView
from indigoworks.gateway.byte_gauges import add_byte_gauges
from indigoworks.gateway.connect_tester import ConnectTester
from indigoworks.gateway.control_subsystem import ControlSubsystem
from indigoworks.gateway.dispatcher_gauges import add_dispatcher_gauges
from indigoworks.gateway.load_evenness import age_label, uneven_requests
from indigoworks.gateway.outlier_gauges import add_outlier_gauges
from indigoworks.gateway.platform_subsystem import PlatformSubsystem
from indigoworks.gateway.request_subsystem import RequestSubsystem
from indigoworks.ownership.server_orders import ServerOrders
from indigoworks.routes.configuration import Configuration
from indigoworks.rowstore.store_health import StoreHealth

NO_LABELS: Labels = ()
UNKNOWN: Mapping[Labels, float] = {}
"""A gauge without a value yet."""

Values = Mapping[Labels, float]


class StateGauges:
    """Reads the state of the parts when the metrics page is requested; costs nothing otherwise."""

    def __init__(
        self,
        requests: RequestSubsystem,
        control: ControlSubsystem,
        platform: PlatformSubsystem,
        orders: ServerOrders,
        tester: ConnectTester,
        peers: PeerView,
        health: StoreHealth,
        line_rates: LineRateLimiter,
        clock: Clock,
    ) -> None:
        self._requests = requests
        self._control = control
        self._platform = platform
        self._orders = orders
        self._tester = tester
        self._peers = peers
        self._health = health
        self._line_rates = line_rates
        self._clock = clock
        self._configured_s = 0.0
        platform.configurations.on_change(self._record_configuration)

    def add_to(self, metrics: Metrics) -> None:
        """Register all gauges, and the counters that the parts keep themselves."""
        service = ("service",)
        metrics.gauge("gateway_waiting", "Requests that wait here", service, self._waiting)
        metrics.gauge("gateway_in_flight", "Requests at servers", service, self._in_flight)
        metrics.gauge("gateway_slots", "Slots of usable servers", service, self._slots)
        metrics.gauge(
            "gateway_uneven_load",
            "Requests beyond slots that idle slots of other servers could run",
            ("service", "age"),
            self._uneven_load,
        )
        metrics.gauge("gateway_servers", "Servers of the list", ("service", "state"), self._servers)
        metrics.gauge(
            "gateway_repeat_budget",
            "Repeats within the window",
            ("service", "kind"),
            self._repeat_budget,
        )
        self._add_quarantine(metrics)
        self._add_notices(metrics)
        add_dispatcher_gauges(metrics, self._requests, self._platform)
        add_outlier_gauges(metrics, self._requests.outliers.detector)
        add_byte_gauges(metrics)
        metrics.gauge("gateway_grants", "Ranges that we grant", ("state",), self._grants)
        metrics.gauge(
            "gateway_path_lost",
            "1: no server is reached from here",
            NO_LABELS,
            lambda: {NO_LABELS: float(self._requests.path.is_lost)},
        )
        metrics.gauge(
            "gateway_servers_out_of_reach",
            "Servers that requests or, while we lead, orders do not reach from here",
            ("way",),
            self._out_of_reach,
        )
        metrics.gauge("gateway_is_leader", "1: we lead", NO_LABELS, self._is_leader)
        metrics.gauge("gateway_epoch", "Epoch of the leader's row", NO_LABELS, self._epoch)
        metrics.gauge(
            "gateway_leader_proof_age_seconds",
            "Age of the leader's proof",
            NO_LABELS,
            self._leader_proof_age_s,
        )
        metrics.gauge(
            "gateway_store_proof_age_seconds",
            "Age of the store's last word",
            NO_LABELS,
            self._store_proof_age_s,
        )
        metrics.gauge("gateway_configuration_version", "Version in force", NO_LABELS, self._version)
        metrics.gauge(
            "gateway_configuration_age_seconds",
            "Time that it has been in force here",
            NO_LABELS,
            self._configuration_age_s,
        )
        metrics.gauge("gateway_live_peers", "Peers heard", NO_LABELS, self._live_peers)
        metrics.read_counter(
            "gateway_connections_opened",
            "Connections opened to servers",
            ("purpose",),
            self._connections_opened,
        )
        metrics.read_counter(
            "gateway_log_lines_dropped", "Lines not written", ("type",), self._lines_dropped
        )

    def _add_quarantine(self, metrics: Metrics) -> None:
        quarantine = self._requests.quarantine
        metrics.gauge(
            "gateway_suspect_requests",
            "Requests under which servers ended",
            ("state",),
            lambda: {
                ("watched",): quarantine.count_watched(),
                ("refused",): quarantine.count_refused(),
            },
        )
        metrics.read_counter(
            "gateway_quarantine_refusals",
            "Tries refused since servers ended under their request",
            ("kind",),
            lambda: {
                ("all",): quarantine.refused,
                ("innocent",): quarantine.refused_innocents,
            },
        )
        doubts = self._requests.doubts
        metrics.read_counter(
            "gateway_doubts",
            "Connections that broke off under a request here",
            ("state",),
            lambda: {("raised",): doubts.raised, ("told",): doubts.announced},
        )

    def _add_notices(self, metrics: Metrics) -> None:
        notices = self._platform.servers.notices
        metrics.gauge(
            "gateway_server_notices",
            "Servers that asked this gateway for rest, said that they leave, or name a limit",
            ("state",),
            lambda: {
                ("resting",): len(list(notices.rests.resting())),
                ("leaving",): notices.leaving_count(),
                ("limited",): notices.limits.count(),
            },
        )
        metrics.gauge(
            "gateway_server_limit",
            "Requests a second that a server takes from all gateways together",
            ("server",),
            lambda: {(each,): per_s for each, per_s in notices.limits.by_server().items()},
        )
        metrics.read_counter(
            "gateway_held_back",
            "Requests not sent for what their server asked for after it was chosen",
            NO_LABELS,
            lambda: {NO_LABELS: self._requests.sender.held_back},
        )

    # ---- requests ----

    def _waiting(self) -> Values:
        waiting = self._requests.queue.waiting_by_service()
        return {(service,): count for service, count in waiting.items()}

    def _in_flight(self) -> Values:
        # A service without requests in flight is reported with 0 instead of being left out.
        counts: Counter[Labels] = Counter(
            {(each.service,): 0 for each in self._platform.servers.listed()}
        )
        for server_id, count in self._requests.server_stats.own_in_flight().items():
            record = self._platform.servers.get(server_id)
            counts[("" if record is None else record.service,)] += count
        return counts

    def _slots(self) -> Values:
        """Return the slots of all servers that may get new requests, reachable from here or not."""
        servers = self._platform.servers
        services = {each.service for each in servers.listed()}
        return {(each,): sum(one.slots for one in servers.usable(each)) for each in services}

    def _uneven_load(self) -> Values:
        """Return uneven requests by the age of the counts that they are computed from."""
        stats = self._requests.server_stats
        age = age_label(stats.report_age_s())
        values: dict[Labels, float] = {}
        for service in {each.service for each in self._platform.servers.listed()}:
            servers = self._requests.selector.usable(service)
            counts = [(stats.in_flight(each.server_id), each.slots) for each in servers]
            values[service, age] = uneven_requests(counts)
        return values

    def _servers(self) -> Values:
        """Return the listed servers, and those that may get requests from here now ("usable")."""
        servers = self._platform.servers
        known = Counter(each.service for each in servers.listed())
        values: dict[Labels, float] = {}
        for service, count in known.items():
            values[service, "known"] = count
            values[service, "usable"] = len(self._requests.selector.usable(service))
        return values

    def _repeat_budget(self) -> Values:
        allowance = self._requests.retry_budget
        values: dict[Labels, float] = {}
        for service in allowance.services():
            values[service, "used"] = allowance.used(service)
            values[service, "allowed"] = allowance.allowed(service)
        return values

    def _connections_opened(self) -> Values:
        tests = self._requests.reachability.connections_opened + self._tester.connections_opened
        return {
            ("requests",): self._requests.sender.connections_opened,
            ("orders",): self._orders.connections_opened,
            ("tests",): tests,
        }

    def _out_of_reach(self) -> Values:
        return {
            ("requests",): len(self._requests.server_stats.down.failed()),
            ("orders",): len(self._control.order_reach.suspect_servers()),
        }

    # ---- control ----

    def _grants(self) -> Values:
        keepers = self._control.keepers
        return {("granted",): keepers.granted_count(), ("pending",): len(keepers.pending())}

    def _is_leader(self) -> Values:
        return {NO_LABELS: float(self._control.leadership.may_act())}

    def _epoch(self) -> Values:
        return {NO_LABELS: self._control.leadership.row.epoch}

    def _leader_proof_age_s(self) -> Values:
        leadership = self._control.leadership
        if leadership.is_named():
            return _age(leadership.proof_age_s())
        return _age(leadership.liveness.proof_age_s(leadership.row.epoch))

    # ---- configuration, store, peers, log ----

    def _record_configuration(self, configuration: Configuration) -> None:
        self._configured_s = self._clock.now()

    def _version(self) -> Values:
        return {NO_LABELS: self._control.configuration_version()}

    def _configuration_age_s(self) -> Values:
        if self._platform.configurations.current() is None:
            return UNKNOWN
        return {NO_LABELS: self._clock.now() - self._configured_s}

    def _store_proof_age_s(self) -> Values:
        """Return the age of the store's newest response, see `StoreHealth`."""
        return _age(self._health.proof_age_s())

    def _live_peers(self) -> Values:
        return {NO_LABELS: self._peers.live_count()}

    def _lines_dropped(self) -> Values:
        return {(message_type,): count for message_type, count in self._line_rates.dropped.items()}


def _age(age_s: float) -> Values:
    return UNKNOWN if age_s == float("inf") else {NO_LABELS: age_s}
