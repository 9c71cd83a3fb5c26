"""The parts of a gateway that request slots from brokers, and act as a broker."""

from dataclasses import replace
from random import Random

from indigoworks.broker.broker_client import BrokerClient
from indigoworks.broker.broker_codec import decode_datagram, encode_datagram
from indigoworks.broker.broker_datagram import BrokerDatagram, BrokerMessage
from indigoworks.broker.broker_queue import BrokerQueue
from indigoworks.broker.broker_selector import BrokerSelector
from indigoworks.broker.doubt_broadcaster import DoubtBroadcaster
from indigoworks.broker.doubt_notice import DoubtNotice
from indigoworks.broker.requester import Requester
from indigoworks.broker.slot_broker import SlotBroker
from indigoworks.broker.slot_release import SlotRelease
from indigoworks.broker.slot_reply import SlotReply
from indigoworks.broker.slot_request import SlotRequest
from indigoworks.common.address import Address
from indigoworks.common.clock import Clock
from indigoworks.exchange.datagram_endpoint import DatagramEndpoint, OpenDatagrams
from indigoworks.exchange.partition_monitor import PartitionMonitor
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.exchange.peer_directory import PeerDirectory
from indigoworks.exchange.peer_table import PeerTable
from indigoworks.gateway.platform_subsystem import PlatformSubsystem
from indigoworks.gateway.server_rate_limiter import ServerRateLimiter
from indigoworks.gateway.server_stats import ServerStats
from indigoworks.ownership.ownership_tables import OwnershipTables
from indigoworks.quarantine.doubt_table import DoubtTable

PORT_OFFSET = 1
"""A broker listens on the port after that of the exchange, so that the directory of gateways needs
to list only one port."""


class BrokerSubsystem:
    """Builds the broker, the client and the socket that they share.

    :param own: address of this process as peers know it.
    :param server_stats: requests in flight as known to this gateway.
    :param partition_monitor: knows from which share of the group this process receives reports.
    :param doubts: its new doubts are broadcast to peers, and those of peers are merged into it.
    :ivar broker: grants slots to other gateways and this one.
    :ivar client: sends requests to brokers.
    :ivar selector: selects the broker for a service and zone.
    """

    def __init__(
        self,
        own: PeerAddress,
        platform: PlatformSubsystem,
        tables: OwnershipTables,
        peers: PeerTable,
        directory: PeerDirectory,
        server_stats: ServerStats,
        clock: Clock,
        random: Random,
        doubts: DoubtTable,
        partition_monitor: PartitionMonitor,
        open_datagrams: OpenDatagrams = DatagramEndpoint,
    ) -> None:
        self._own = own
        self._platform = platform
        self._tables = tables
        self._peers = peers
        self._directory = directory
        self._server_stats = server_stats
        self._clock = clock
        self._random = random
        self._partition_monitor = partition_monitor
        self._port = open_datagrams(_broker_address(own.address), self._handle_datagram)
        self.broker = SlotBroker(self._make_queue, clock)
        self.client = BrokerClient(self._send_to, clock)
        self.selector = BrokerSelector(
            own, lambda: not self.broker.is_stopping, directory, peers, clock
        )
        self._broadcaster = DoubtBroadcaster(
            directory, peers, self._send_to, doubts.merge, clock, random
        )
        doubts.on_doubt = self._broadcaster.broadcast
        self._local_requester = Requester(own.boot, self._handle_local_reply)

    async def open(self) -> None:
        """Bind the socket.

        :raises OSError: the address cannot be bound.
        """
        await self._port.open()

    def close(self) -> None:
        """Cancel pending resends and close the socket."""
        self._broadcaster.close()
        self.client.close()
        self._port.close()

    # ---- helpers ----

    def _make_queue(self, zone: str) -> BrokerQueue:
        servers = self._platform.servers
        rate_limiter = ServerRateLimiter(
            servers.cold,
            servers.notices.limits,
            self._platform.is_keyed,
            self._clock,
            zone,
            self._partition_monitor.heard_share,
        )
        return BrokerQueue(
            zone,
            servers,
            self._tables,
            self._peers,
            self._server_stats.in_flight,
            rate_limiter,
            self._clock,
            self._random,
        )

    def _send_to(self, peer: PeerAddress, content: SlotRequest | SlotRelease | DoubtNotice) -> None:
        if peer.node == self._own.node:
            self._handle_message(self._local_requester, content)
        else:
            self._send(_broker_address(peer.address), content)

    def _send(self, address: Address, content: BrokerMessage) -> None:
        datagram = BrokerDatagram(self._own.node, self._own.boot, content)
        self._port.send(encode_datagram(datagram), address)

    def _handle_datagram(self, data: bytes, sender: Address) -> None:
        datagram = decode_datagram(data)
        if datagram is None:
            return
        requester = Requester(datagram.boot, lambda reply: self._send(sender, reply))
        self._handle_message(requester, datagram.content)

    def _handle_message(self, requester: Requester, content: BrokerMessage) -> None:
        if isinstance(content, SlotRequest):
            self.broker.handle_request(requester, content)
        elif isinstance(content, SlotReply):
            self.client.handle_reply(content)
        elif isinstance(content, DoubtNotice):
            self._broadcaster.handle_notice(content)
        else:
            self.broker.handle_release(requester.boot, content)

    def _handle_local_reply(self, reply: SlotReply) -> None:
        self.client.handle_reply(reply)


def _broker_address(address: Address) -> Address:
    return replace(address, port=address.port + PORT_OFFSET)
