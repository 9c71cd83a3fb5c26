"""One connection through the relay."""

import asyncio

from indigoworks.common.address import Address
from indigoworks_lab.link_relay.flow import Flow

PIECE_BYTES = 64 * 1024


class RelayedConnection:
    """Hands the bytes of one caller's connection on to its target, and the answers back.

    :param forward: flow from the caller to the target.
    :param backward: flow from the target to the caller.
    """

    def __init__(self, target: Address, forward: Flow, backward: Flow) -> None:
        self._target = target
        self._forward = forward
        self._backward = backward

    async def run(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the caller's connection until both ends have closed it or one is reset."""
        if not await self._admit_connection():
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self._target.host, self._target.port
            )
        except OSError:
            writer.transport.abort()
            return
        try:
            await asyncio.gather(
                _hand_on(reader, far_writer, self._forward),
                _hand_on(far_reader, writer, self._backward),
            )
        except OSError:
            # One end is gone. The other must not learn of it before the end of a cut.
            await self._wait_both_open()
        finally:
            writer.transport.abort()
            far_writer.transport.abort()

    async def _admit_connection(self) -> bool:
        """Wait until a connection can be made; it needs both directions, as TCP's handshake.

        :returns: False where the connection is refused.
        """
        for flow in (self._forward, self._backward):
            if not flow.faults.is_cut:
                continue
            if flow.faults.refuses_new:
                flow.counts.refused_connections += 1
                return False
            flow.counts.held_connections += 1
        await self._wait_both_open()
        return True

    async def _wait_both_open(self) -> None:
        while self._forward.faults.is_cut or self._backward.faults.is_cut:
            await self._forward.wait_open()
            await self._backward.wait_open()


async def _hand_on(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, flow: Flow) -> None:
    while True:
        piece = await reader.read(PIECE_BYTES)
        await flow.admit(len(piece))
        if not piece:
            writer.write_eof()
            return
        writer.write(piece)
        await writer.drain()
