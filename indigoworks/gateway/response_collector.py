"""Collects one answer of a server."""

import asyncio
from collections.abc import Callable

from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, RequestStartLine, ResponseStartLine

INFORMATIONAL_LIMIT = 200
"""Statuses below this announce a later answer."""

HeadListener = Callable[[int, HTTPHeaders], None]
"""Takes status and headers of an answer as soon as they have arrived."""


def ignore_head(status: int, headers: HTTPHeaders) -> None:
    """Serve where nobody wants to know heads."""


class ResponseCollector(HTTPMessageDelegate):
    """Receives the parts of one answer from the HTTP library.

    :param on_head: is told of the head also where the rest of the answer never comes.
    :ivar finished: done when the whole answer was seen.
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
        """Take status and headers."""
        assert isinstance(start_line, ResponseStartLine)
        if start_line.code < INFORMATIONAL_LIMIT:
            return
        self.status = start_line.code
        self.headers = headers
        self._version = start_line.version
        self._on_head(start_line.code, headers)

    def data_received(self, chunk: bytes) -> None:
        """Take a part of the body."""
        self._chunks.append(chunk)

    def finish(self) -> None:
        """Take note of the end of the answer."""
        if self.status and not self.finished.done():
            self.finished.set_result(None)

    def on_connection_close(self) -> None:
        """Take note of nothing: the reading ends without a finish."""

    @property
    def body(self) -> bytes:
        """Return what came of the body."""
        return b"".join(self._chunks)

    @property
    def has_known_end(self) -> bool:
        """Tell whether the answer said where it ends, rather than ending with its connection."""
        is_framed = "Content-Length" in self.headers or "Transfer-Encoding" in self.headers
        return is_framed or self.status in (204, 304)

    @property
    def keeps_connection(self) -> bool:
        """Tell whether the server takes another request on this connection."""
        is_closing = self.headers.get("Connection", "").lower() == "close"
        return self.has_known_end and self._version == "HTTP/1.1" and not is_closing

    @property
    def keep_alive_s(self) -> float | None:
        """Return the seconds for which the server keeps the connection; None: it does not say."""
        for part in self.headers.get("Keep-Alive", "").split(","):
            name, _, value = part.strip().partition("=")
            if name == "timeout" and value.isdecimal():
                return float(value)
        return None
