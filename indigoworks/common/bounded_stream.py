"""Stream of a connection on which responses are read."""

import asyncio
from collections.abc import Awaitable, Callable

from tornado.httputil import HTTPInputError
from tornado.iostream import IOStream

from indigoworks.common.exceeded_bound import ExceededBound

FREE_CHUNKS = 4096
MEAN_CHUNK_BYTES = 32
"""A body may have FREE_CHUNKS chunks, and one more for each MEAN_CHUNK_BYTES. The HTTP library
bounds their bytes only: 64 MiB in chunks of one byte keep a processor busy for 20 minutes."""

FRAME_BYTES = 6
"""Least bytes around a chunk of MEAN_CHUNK_BYTES."""

CHUNKS_A_TURN = 32
"""Chunks read in one turn of the event loop. The library reads 256 of them, which took 5 ms for
each connection."""


class BoundedStream(IOStream):
    """Ends a response with too many chunks, and reports bytes that arrive between responses.

    :ivar exceeded: the bound that a response exceeded; None if none did.
    :ivar chunks: chunks of the body that is being read; `body_start` is where it begins.
    :ivar heads: heads of the response that were asked for, interim ones included.
    :ivar on_surplus: called once with the first bytes that arrive; None while a response is due.
    """

    exceeded: ExceededBound | None = None
    chunks = 0
    body_start = 0
    heads = 0
    on_surplus: Callable[[], None] | None = None
    _total_read = 0

    def read_until(self, delimiter: bytes, max_bytes: int | None = None) -> Awaitable[bytes]:
        """Read a line; the HTTP library reads only those that begin a chunk with this."""
        self.chunks += 1
        if self.chunks % CHUNKS_A_TURN:
            return super().read_until(delimiter, max_bytes)
        read_bytes = self._total_read - self.body_start
        if self.chunks > FREE_CHUNKS + read_bytes // (MEAN_CHUNK_BYTES + FRAME_BYTES):
            self.exceeded = ExceededBound.CHUNKS
            raise HTTPInputError("too many chunks")
        return self._read_until_later(delimiter, max_bytes)

    def read_until_regex(self, regex: bytes, max_bytes: int | None = None) -> Awaitable[bytes]:
        """Read a head; the one after an interim response is read in a later turn."""
        self.heads += 1
        if self.heads == 1:
            return super().read_until_regex(regex, max_bytes)
        return self._read_until_regex_later(regex, max_bytes)

    async def _read_until_regex_later(self, regex: bytes, max_bytes: int | None) -> bytes:
        await asyncio.sleep(0)
        return await super().read_until_regex(regex, max_bytes)

    async def _read_until_later(self, delimiter: bytes, max_bytes: int | None) -> bytes:
        await asyncio.sleep(0)
        return await super().read_until(delimiter, max_bytes)

    def _find_read_pos(self) -> int | None:
        # The library's search for the end of a head, by a pattern, takes 3 ms for 64 KiB of short
        # lines, and is repeated while the buffer grows; `_head_end` takes a tenth of it.
        if self._read_regex is not None:
            end = self._head_end()
            self._check_max_bytes(self._read_regex, end or self._read_buffer_size)
            return end
        return super()._find_read_pos()

    def _head_end(self) -> int | None:
        """Return where the first empty line ends; None if there is none yet."""
        found = [
            position + len(ending)
            for ending in (b"\n\r\n", b"\n\n")
            if (position := self._read_buffer.find(ending)) >= 0
        ]
        return min(found) if found else None

    def begin_body(self) -> None:
        """Count chunks from here on."""
        self.chunks = 0
        self.body_start = self._total_read

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket."""
        count = super().read_from_fd(buf)
        self._total_read += count or 0
        if count and self.on_surplus is not None:
            self.io_loop.add_callback(self.on_surplus)
            self.on_surplus = None
        return count
