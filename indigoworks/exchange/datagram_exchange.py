"""Reports as datagrams."""

from indigoworks.common.address import Address
from indigoworks.common.clock import Clock
from indigoworks.exchange.datagram_endpoint import DatagramEndpoint
from indigoworks.exchange.report_sender import ReportSender


class DatagramExchange:
    """Sends reports over a socket of its own, and takes those of peers.

    :ivar sender: says what goes out when, and takes what peers send; set before the socket opens.
    """

    sender: ReportSender

    def __init__(self, address: Address, clock: Clock) -> None:
        self._port = DatagramEndpoint(
            address, lambda datagram, _: self.sender.handle_datagram(datagram)
        )
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
        """Send a datagram; nothing is sent before the socket is open."""
        self._port.send(datagram, address)

    def close(self) -> None:
        """Close the socket."""
        self._port.close()
