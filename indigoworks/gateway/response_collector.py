"""Collects one response of a server."""

import asyncio
from collections.abc import Callable

from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, RequestStartLine, ResponseStartLine

INFORMATIONAL_LIMIT = 200
"""Statuses below this are informational: the final response follows."""

HeadListener = Callable[[int, HTTPHeaders], None]
"""Called with status and headers of a response as soon as they have arrived."""


def ignore_head(status: int, headers: HTTPHeaders) -> None:
    """Default listener, which does nothing."""


class ResponseCollector(HTTPMessageDelegate):
    """Receives the parts of one response from the HTTP library.

    :param on_head: called with the head, even if the rest of the response never arrives.
    :ivar finished: done when the response is complete.
    """

    def __init__(self, on_head: HeadListener = ignore_head) -> None:
        self._on_head = on_head
        self.finished: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.status = 0
        self.headers = HTTPHeaders()
        self._chunks: list[bytes] = []
        self._version = ""

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Store status and headers."""
        assert isinstance(start_line, ResponseStartLine)
        if start_line.code < INFORMATIONAL_LIMIT:
            return
        self.status = start_line.code
        self.headers = headers
        self._version = start_line.version
        self._on_head(start_line.code, headers)

    def data_received(self, chunk: bytes) -> None:
        """Store a part of the body."""
        self._chunks.append(chunk)

    def finish(self) -> None:
        """Mark the response as complete."""
        if self.status and not self.finished.done():
            self.finished.set_result(None)

    def on_connection_close(self) -> None:
        """Do nothing: reading ends without a call of `finish`."""

    @property
    def body(self) -> bytes:
        """Return the body received so far."""
        return b"".join(self._chunks)

    @property
    def has_known_end(self) -> bool:
        """Return whether the response is framed, not ended by the close of its connection."""
        is_framed = "Content-Length" in self.headers or "Transfer-Encoding" in self.headers
        return is_framed or self.status in (204, 304)

    @property
    def keeps_connection(self) -> bool:
        """Return whether the server accepts another request on this connection."""
        is_closing = self.headers.get("Connection", "").lower() == "close"
        return self.has_known_end and self._version == "HTTP/1.1" and not is_closing

    @property
    def keep_alive_s(self) -> float | None:
        """Return the keep-alive time-out that the server states; None if it states none."""
        for part in self.headers.get("Keep-Alive", "").split(","):
            name, _, value = part.strip().partition("=")
            if name == "timeout" and value.isdecimal():
                return float(value)
        return None
