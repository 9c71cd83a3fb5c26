"""Connections between the hosts of one run."""

import asyncio
from collections.abc import Callable
from typing import Any, cast

from indigoworks_lab.bench.network.current_host import CURRENT_HOST
from indigoworks_lab.bench.network.topology import Topology
from indigoworks_lab.bench.network.virtual_server import VirtualServer
from indigoworks_lab.bench.network.virtual_transport import VirtualTransport

ProtocolFactory = Callable[[], asyncio.BaseProtocol]
HostPort = tuple[str, int]


class VirtualNetwork:
    """Listening addresses, and connections with the delays of a topology."""

    def __init__(self, topology: Topology) -> None:
        self.topology = topology
        self._listening: dict[HostPort, ProtocolFactory] = {}

    def listen(self, factory: ProtocolFactory, host: str, port: int) -> VirtualServer:
        """Accept connections on an address.

        :raises OSError: something listens there already.
        """
        address = (host, port)
        if address in self._listening:
            raise OSError(f"address {host}:{port} is in use")
        self._listening[address] = factory
        return VirtualServer(lambda: self._forget(address))

    async def connect(
        self, loop: asyncio.AbstractEventLoop, factory: ProtocolFactory, host: str, port: int
    ) -> tuple[Any, Any]:
        """Open a connection from the host of the running task, after one round trip.

        :raises ConnectionRefusedError: nothing listens there.
        """
        source = CURRENT_HOST.get()
        delay_s = self.topology.delay_s(source, host)
        await asyncio.sleep(2 * delay_s)
        accept = self._listening.get((host, port))
        if accept is None:
            raise ConnectionRefusedError(f"nothing listens on {host}:{port}")
        token = CURRENT_HOST.set(host)
        try:
            theirs = cast(asyncio.Protocol, accept())
            far = VirtualTransport(loop, theirs, delay_s, (source, 0))
        finally:
            CURRENT_HOST.reset(token)
        ours = cast(asyncio.Protocol, factory())
        near = VirtualTransport(loop, ours, delay_s, (host, port))
        near.connect_to(far)
        far.connect_to(near)
        self._open_far_end(loop, host, theirs, far)
        ours.connection_made(near)
        return near, ours

    def _open_far_end(
        self,
        loop: asyncio.AbstractEventLoop,
        host: str,
        protocol: asyncio.Protocol,
        transport: VirtualTransport,
    ) -> None:
        # What the accepting side starts from here on runs on its own host.
        token = CURRENT_HOST.set(host)
        try:
            protocol.connection_made(transport)
        finally:
            CURRENT_HOST.reset(token)

    def _forget(self, address: HostPort) -> None:
        self._listening.pop(address, None)
