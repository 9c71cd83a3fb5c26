"""UDP socket on the event loop."""

import asyncio
from collections.abc import Callable
from typing import cast

from indigoworks.common.address import Address


class DatagramEndpoint(asyncio.DatagramProtocol):
    """Sends datagrams and passes received ones to a callback.

    :param on_datagram: called with the bytes of each datagram and the address that sent it.
    """

    def __init__(self, address: Address, on_datagram: Callable[[bytes, Address], None]) -> None:
        self._address = address
        self._on_datagram = on_datagram
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self) -> None:
        """Bind the socket.

        :raises OSError: the address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._address.host, self._address.port)
        )

    def send(self, datagram: bytes, address: Address) -> None:
        """Send a datagram; dropped while the socket is not open."""
        if self._transport is not None:
            self._transport.sendto(datagram, (address.host, address.port))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; called by the event loop."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a datagram to the callback; called by the event loop."""
        self._on_datagram(data, Address(addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """Ignore errors of single datagrams: peers come and go."""


OpenDatagrams = Callable[[Address, Callable[[bytes, Address], None]], DatagramEndpoint]
"""Creates an unbound socket, as `DatagramEndpoint` does; the simulation has its own."""
