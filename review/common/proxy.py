"""A proxy between gateways and the store whose open connections can go silent for good."""

import asyncio
import contextlib
import time

CHUNK_BYTES = 65536


class SilentProxy:
    """Passes bytes on; `silence` drops those of all connections that are open at that moment."""

    def __init__(self, host: str, port: int) -> None:
        self._upstream = host, port
        self._server: asyncio.Server | None = None
        self._open: set[_Link] = set()
        self.port = 0

    async def start(self, host: str) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def silence(self, idle_s: float) -> int:
        """Let the connections go silent that carried nothing for a time; return their number.

        So does a firewall that forgets connections which rest: it drops what comes later, without a
        reset, while new connections work.
        """
        earliest_s = time.monotonic() - idle_s
        idle = [each for each in self._open if not each.is_silent and each.used_s < earliest_s]
        for link in idle:
            link.is_silent = True
        return len(idle)

    async def stop(self) -> None:
        """End all connections."""
        if self._server is not None:
            self._server.close()
        for link in list(self._open):
            link.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            there, back = await asyncio.open_connection(*self._upstream)
        except OSError:
            writer.transport.abort()
            return
        link = _Link(writer, back)
        self._open.add(link)
        try:
            await asyncio.gather(link.pass_on(reader, back), link.pass_on(there, writer))
        except asyncio.CancelledError:
            pass
        finally:
            self._open.discard(link)
            link.close()


class _Link:
    """One connection through the proxy."""

    def __init__(self, one: asyncio.StreamWriter, other: asyncio.StreamWriter) -> None:
        self._ends = one, other
        self.is_silent = False
        self.used_s = time.monotonic()

    async def pass_on(self, source: asyncio.StreamReader, sink: asyncio.StreamWriter) -> None:
        """Pass bytes on until an end closes; of a silent link nothing is seen at the other end."""
        with contextlib.suppress(OSError):
            while data := await source.read(CHUNK_BYTES):
                self.used_s = time.monotonic()
                if not self.is_silent:
                    sink.write(data)
                    await sink.drain()
            if not self.is_silent:
                sink.close()

    def close(self) -> None:
        """End both sides."""
        for each in self._ends:
            each.transport.abort()
