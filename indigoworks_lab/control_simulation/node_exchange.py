"""Sends and receives the reports of one node."""

import asyncio
from collections.abc import Callable

from indigoworks.common.address import Address
from indigoworks.common.clock import Clock
from indigoworks.exchange.hub_selector import HubSelector
from indigoworks.exchange.peer_directory import PeerDirectory
from indigoworks.exchange.peer_table import PeerTable
from indigoworks.exchange.reach_codec import is_reach_datagram
from indigoworks.exchange.report_sender import ReportSender, ReportSource
from indigoworks.exchange.witness_codec import is_witness_datagram
from indigoworks_lab.control_simulation.datagram_links import DatagramLinks

CAPACITY = 1.0
"""All nodes are equal: each may be a hub."""


class NodeExchange:
    """Does what `DatagramExchange` does, over simulated links.

    :ivar on_witness_datagram: takes datagrams of witnesses; set before the node starts.
    :ivar on_reach_datagram: takes questions for servers in reach, and the replies.
    """

    on_witness_datagram: Callable[[bytes], None]
    on_reach_datagram: Callable[[bytes], None]

    def __init__(
        self,
        node: str,
        zone: str,
        links: DatagramLinks,
        directory: PeerDirectory,
        table: PeerTable,
        clock: Clock,
        source: ReportSource,
    ) -> None:
        self._node = node
        self._links = links
        self._clock = clock
        choice = HubSelector(node, zone, CAPACITY, directory, table, source.leader_node, clock)
        self._sender = ReportSender(zone, directory, table, choice, source, self.send)

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            await self._clock.sleep(self._sender.period_s())
            self._sender.send_if_due()

    def send_soon(self) -> None:
        """Send a report now, or with the next one where there are many peers."""
        self._sender.send_soon()

    async def receive(self, delay_s: float, datagram: bytes) -> None:
        """Take a datagram that arrives after `delay_s`."""
        await asyncio.sleep(delay_s)
        if is_witness_datagram(datagram):
            self.on_witness_datagram(datagram)
        elif is_reach_datagram(datagram):
            self.on_reach_datagram(datagram)
        else:
            self._sender.handle_datagram(datagram)

    def send(self, datagram: bytes, address: Address) -> None:
        """Send a datagram."""
        self._links.send(self._node, datagram, (address.host, address.port))
