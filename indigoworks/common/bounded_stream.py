"""Stream of a connection on which responses are read."""

from collections.abc import Awaitable, Callable

from tornado.httputil import HTTPInputError
from tornado.iostream import IOStream

from indigoworks.common.exceeded_bound import ExceededBound

MAX_CHUNKS = 64 * 1024
"""Chunks of one body. The HTTP library bounds their bytes only: 64 MiB in chunks of one byte keep
a processor busy for 20 minutes."""


class BoundedStream(IOStream):
    """Ends a response with too many chunks, and reports bytes that arrive between responses.

    :ivar exceeded: the bound that a response exceeded; None if none did.
    :ivar chunks: chunks of the body that is being read.
    :ivar on_surplus: called once with the first bytes that arrive; None while a response is due.
    """

    exceeded: ExceededBound | None = None
    chunks = 0
    on_surplus: Callable[[], None] | None = None

    def read_until(self, delimiter: bytes, max_bytes: int | None = None) -> Awaitable[bytes]:
        """Read a line; the HTTP library reads only those that begin a chunk with this."""
        self.chunks += 1
        if self.chunks > MAX_CHUNKS:
            self.exceeded = ExceededBound.CHUNKS
            raise HTTPInputError("too many chunks")
        return super().read_until(delimiter, max_bytes)

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket."""
        count = super().read_from_fd(buf)
        if count and self.on_surplus is not None:
            self.io_loop.add_callback(self.on_surplus)
            self.on_surplus = None
        return count
