"""Exchanges reports and other datagrams with peers over UDP."""

from collections.abc import Callable

from indigoworks.common.address import Address
from indigoworks.common.clock import Clock
from indigoworks.exchange.datagram_endpoint import DatagramEndpoint
from indigoworks.exchange.reach_codec import is_reach_datagram
from indigoworks.exchange.report_sender import ReportSender
from indigoworks.exchange.witness_codec import is_witness_datagram


class DatagramExchange:
    """Sends datagrams over a socket of its own, and receives those of peers.

    :ivar sender: schedules the reports and handles received ones; set before the socket opens.
    :ivar on_witness_datagram: handles received datagrams of witnesses; set before the socket opens.
    :ivar on_reach_datagram: as well, questions for servers in reach, and the replies.
    """

    sender: ReportSender
    on_witness_datagram: Callable[[bytes], None]
    on_reach_datagram: Callable[[bytes], None]

    def __init__(self, address: Address, clock: Clock) -> None:
        self._port = DatagramEndpoint(address, lambda datagram, _: self._handle(datagram))
        self._clock = clock

    async def open(self) -> None:
        """Bind the socket.

        :raises OSError: the address cannot be bound.
        """
        await self._port.open()

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            await self._clock.sleep(self.sender.period_s())
            self.sender.send_if_due()

    def send(self, datagram: bytes, address: Address) -> None:
        """Send a datagram; dropped while the socket is not open."""
        self._port.send(datagram, address)

    def close(self) -> None:
        """Close the socket."""
        self._port.close()

    def _handle(self, datagram: bytes) -> None:
        if is_witness_datagram(datagram):
            self.on_witness_datagram(datagram)
        elif is_reach_datagram(datagram):
            self.on_reach_datagram(datagram)
        else:
            self.sender.handle_datagram(datagram)
