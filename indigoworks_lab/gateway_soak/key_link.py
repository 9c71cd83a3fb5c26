"""The path from one process to another, which can be cut or fall silent."""

import asyncio
import time
from contextlib import suppress

from indigoworks.common.address import Address
from indigoworks_lab.launcher.free_ports import LOOPBACK

PIECE_BYTES = 64 * 1024
BACKLOG = 512


class KeyLink:
    """Listens where the caller connects to and hands bytes on to the target.

    :param source: address that the target sees as the caller's, so that it knows who it is.
    :ivar sent_s: by the port that the target sees, when the caller had sent something.
    """

    def __init__(self, listen_port: int, target_port: int, source: str) -> None:
        self.address = Address(LOOPBACK, listen_port)
        self._target_port = target_port
        self._source = source
        self.sent_s: dict[int, list[float]] = {}
        self._passing = asyncio.Event()
        self._passing.set()
        self._delivers = True
        self._listener: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Take connections."""
        if self._listener is None:
            self._listener = await asyncio.start_server(
                self._serve, LOOPBACK, self.address.port, backlog=BACKLOG, reuse_address=True
            )

    def cut(self) -> None:
        """Reset all connections and refuse new ones until `open`."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for task in list(self._tasks):
            task.cancel()

    def fall_silent(self, delivers: bool) -> None:
        """Take connections and bytes, and hold them back until `speak`.

        :param delivers: what a caller sent before it gave up is handed on then.
        """
        self._passing.clear()
        self._delivers = delivers

    def speak(self) -> None:
        """Hand on again."""
        self._passing.set()

    @property
    def is_silent(self) -> bool:
        """Tell whether bytes are held back."""
        return not self._passing.is_set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        far_writer = None
        accepted_s = time.monotonic()
        # A cut cancels: then the connection ends like one that was reset.
        with suppress(OSError, asyncio.CancelledError):
            try:
                await self._pass(reader)
                far_reader, far_writer = await asyncio.open_connection(
                    LOOPBACK, self._target_port, local_addr=(self._source, 0)
                )
                port = far_writer.get_extra_info("sockname")[1]
                sent_s = self.sent_s.setdefault(port, [])
                # A caller sends at once when it has connected.
                sent_s.append(accepted_s)
                async with asyncio.TaskGroup() as group:
                    group.create_task(self._hand_on(reader, far_writer, sent_s))
                    group.create_task(self._hand_on(far_reader, writer, []))
            except* OSError:
                pass
            finally:
                self._tasks.discard(task)
                writer.transport.abort()
                if far_writer is not None:
                    far_writer.transport.abort()

    async def _hand_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, sent_s: list[float]
    ) -> None:
        is_first = True
        while True:
            piece = await reader.read(PIECE_BYTES)
            if not is_first:
                sent_s.append(time.monotonic())
            is_first = False
            await self._pass(reader)
            if not piece:
                # Either end closes the whole connection: nobody here closes one side only.
                raise ConnectionResetError
            writer.write(piece)
            await writer.drain()

    async def _pass(self, reader: asyncio.StreamReader) -> None:
        """Wait until bytes pass."""
        if self._passing.is_set():
            return
        await self._passing.wait()
        error = reader.exception()
        if error is not None and not self._delivers:
            raise ConnectionResetError
