"""The socket of a simulated gateway for requests for slots."""

from collections.abc import Callable

from indigoworks.common.address import Address
from indigoworks.exchange.datagram_endpoint import DatagramEndpoint

TakeDatagram = Callable[[bytes, Address], None]


class BrokerPort(DatagramEndpoint):
    """Does what a `DatagramEndpoint` does, over the links of the simulation.

    :param carry: sends a datagram from the first address to the second.
    """

    def __init__(
        self,
        address: Address,
        take: TakeDatagram,
        carry: Callable[[bytes, Address, Address], None],
    ) -> None:
        super().__init__(address, take)
        self._own = address
        self._take = take
        self._carry = carry

    async def open(self) -> None:
        """Bind nothing: the links know the address."""

    def send(self, datagram: bytes, address: Address) -> None:
        """Send a datagram."""
        self._carry(datagram, self._own, address)

    def close(self) -> None:
        """Close nothing."""

    def receive(self, datagram: bytes, sender: Address) -> None:
        """Take a datagram off the link."""
        self._take(datagram, sender)
