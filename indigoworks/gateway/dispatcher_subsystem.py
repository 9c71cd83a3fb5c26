"""Builds the parts of a gateway that select dispatchers, and act as one."""

from collections.abc import Callable

from indigoworks.common.clock import Clock
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.exchange.peer_directory import PeerDirectory
from indigoworks.exchange.peer_view import PeerView
from indigoworks.forwarding.dispatcher_selector import DispatcherSelector
from indigoworks.forwarding.forward_client import ForwardClient
from indigoworks.forwarding.peer_connection import PeerConnection
from indigoworks.gateway.capacity_tracker import CapacityTracker
from indigoworks.gateway.dispatch_queue import DispatchQueue
from indigoworks.gateway.dispatcher_capacity import DispatcherCapacity
from indigoworks.gateway.dispatcher_load import DispatcherLoad
from indigoworks.gateway.failure_responses import FailureResponses
from indigoworks.gateway.gateway_queues import GatewayQueues
from indigoworks.gateway.hop_messages import HopMessages
from indigoworks.gateway.local_retry_budget import LocalRetryBudget
from indigoworks.gateway.owner_lookup import OwnerLookup
from indigoworks.gateway.request_dispatching import RequestDispatching
from indigoworks.gateway.request_log import RequestLog
from indigoworks.gateway.retry_policy import RetryPolicy
from indigoworks.gateway.server_connection import OpenConnection, ServerConnection
from indigoworks.gateway.server_rate_limiter import ServerRateLimiter
from indigoworks.gateway.server_selector import ServerSelector
from indigoworks.gateway.server_stats import ServerStats
from indigoworks.servers.server_source import ServerSource


class DispatcherSubsystem:
    """The selection of dispatchers, and what this process counts as one.

    :ivar load: requests of other gateways at servers.
    :ivar client: passes requests to dispatchers.
    :ivar may_act: returns whether this process may act as dispatcher; set by the owner.
    """

    def __init__(
        self,
        own: PeerAddress,
        servers: ServerSource,
        directory: PeerDirectory,
        peers: PeerView,
        clock: Clock,
        open_connection: OpenConnection,
    ) -> None:
        self._own = own
        self._servers = servers
        self._directory = directory
        self._clock = clock
        self.may_act: Callable[[], bool] = lambda: True
        self.selector = DispatcherSelector(own, lambda: self.may_act(), directory, peers, clock)
        self.load = DispatcherLoad(peers, self._is_own_server, clock)
        # The simulation has connections of its own.
        is_real = open_connection is ServerConnection
        self.client = ForwardClient(
            clock, PeerConnection if is_real else open_connection, keeps_warm=True
        )

    def make_queues(
        self,
        server_selector: ServerSelector,
        owners: OwnerLookup,
        server_stats: ServerStats,
        rate_limiter: ServerRateLimiter,
    ) -> GatewayQueues:
        """Return the queues of this gateway."""
        self.load.granted = server_stats.own_in_flight_at
        server_stats.on_server_load = self.load.record_server_load
        capacity = DispatcherCapacity(server_stats, rate_limiter, self.load)
        general = DispatchQueue(
            server_selector,
            owners,
            server_stats,
            CapacityTracker(server_stats, rate_limiter),
            self._clock,
        )
        dispatched = DispatchQueue(
            server_selector, owners, server_stats, capacity, self._clock, counts_all=True
        )

        def is_dispatcher(service: str, key: int) -> bool:
            if not self._directory.has_many():
                return False
            server = owners.find(service, key).server
            return server is not None and self.selector.is_own(server.server_id, server.zone)

        return GatewayQueues(general, dispatched, is_dispatcher)

    def make_dispatching(
        self,
        owners: OwnerLookup,
        messages: HopMessages,
        retry_budget: LocalRetryBudget,
        retry_policy: RetryPolicy,
        failures: FailureResponses,
        log: RequestLog,
    ) -> RequestDispatching:
        """Return what passes requests to dispatchers."""
        return RequestDispatching(
            self._own.node,
            self.selector,
            self._directory,
            owners,
            self.client,
            messages,
            retry_budget,
            retry_policy,
            failures,
            log,
            self._clock,
        )

    def own_server_count(self, server_ids: list[str]) -> int:
        """Return how many of the servers this process is the dispatcher of."""
        return sum(map(self._is_own_server, server_ids))

    def _is_own_server(self, server_id: str) -> bool:
        server = self._servers.get(server_id)
        return server is not None and self.selector.is_own(server_id, server.zone)
