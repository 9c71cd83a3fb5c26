"""The parts of a gateway that follow the store through relays, and act as one."""

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
"""Connections to a relay: one for each table that is followed, one for a whole reading, and one to
spare."""


class RelaySubsystem:
    """Builds the choice of a relay, the store behind it, and the server for other gateways.

    :ivar capacity: what this machine offers as relay.
    :ivar store: to be used in place of the port of the store.
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
            HttpSender(clock, RELAY_CONNECTIONS),
            frozenset({ports.servers_table, CONTROL_TABLE}),
            clock,
            frozenset({ports.configuration_table}),
        )
        self.server = FeedServer(
            settings.peer_address, self.store, self.choice, ports.health, clock
        )
