"""The parts of a gateway that follow the store through a relay, or act as a relay."""

from collections.abc import Callable
from random import Random

from indigoworks.backend.http_sender import HttpSender
from indigoworks.common.clock import Clock
from indigoworks.exchange.peer_directory import PeerDirectory
from indigoworks.exchange.peer_view import PeerView
from indigoworks.gateway.gateway_settings import GatewaySettings
from indigoworks.gateway.platform_ports import PlatformPorts
from indigoworks.ownership.control_group import CONTROL_TABLE
from indigoworks.relay.feed_server import FeedServer
from indigoworks.relay.relay_selector import RelaySelector, relay_capacity
from indigoworks.relay.relayed_store import RelayedStore
from indigoworks.rowstore.probing_store import ProbingStore

RELAY_CONNECTIONS = 5
"""Connections to a relay: one per followed table, one for reading a whole table, and one spare."""

MAX_IDLE_S = 1.0
"""Idle time after which a connection to a relay is not reused: it may have gone silent."""


class RelaySubsystem:
    """Builds the relay selection, the store client behind it, and the feed for other gateways.

    :ivar capacity: `relay_capacity` of this machine, also used to select report hubs.
    :ivar store: store client to use instead of the platform's.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        ports: PlatformPorts,
        peers: PeerView,
        directory: PeerDirectory,
        leader_node: Callable[[], str],
        clock: Clock,
        random: Random,
    ) -> None:
        self.capacity = relay_capacity(settings.capacity_cores, settings.link_mbit)
        self.choice = RelaySelector(
            settings.node,
            settings.zone,
            self.capacity,
            directory,
            peers,
            leader_node,
            ports.health.lost_for_s,
            clock,
        )
        self.store = RelayedStore(
            ProbingStore(ports.store, self.choice.gateway_count, directory.has_many, random, clock),
            ports.health,
            self.choice,
            HttpSender(clock, RELAY_CONNECTIONS, MAX_IDLE_S),
            frozenset({ports.servers_table, CONTROL_TABLE}),
            clock,
            frozenset({ports.configuration_table}),
        )
        self.server = FeedServer(self.store, self.choice, ports.health, clock)
