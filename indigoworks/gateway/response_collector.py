"""Collects one response of a server."""

import asyncio
from collections.abc import Awaitable, Callable

from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, RequestStartLine, ResponseStartLine

from indigoworks.common.byte_share import ByteShare
from indigoworks.common.exceeded_bound import ExceededBound
from indigoworks.common.response_body import ResponseBody

INFORMATIONAL_LIMIT = 200
"""Statuses below this are informational: the final response follows."""

HeadListener = Callable[[int, HTTPHeaders], None]
"""Called with status and headers of a response as soon as they have arrived."""


def ignore_head(status: int, headers: HTTPHeaders) -> None:
    """Default listener, which does nothing."""


def _nothing() -> None:
    """Default of a callback."""


class ResponseCollector(HTTPMessageDelegate):
    """Receives the parts of one response from the HTTP library.

    :param on_head: called with the head, even if the rest of the response never arrives.
    :param on_cut: called if the response has to end for lack of memory.
    :ivar finished: done when the response is complete.
    """

    def __init__(
        self, on_head: HeadListener = ignore_head, on_cut: Callable[[], None] = _nothing
    ) -> None:
        self._on_head = on_head
        self.finished: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.status = 0
        self.headers = HTTPHeaders()
        self._body = ResponseBody(on_cut)
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
        self._body.begin(headers)
        self._on_head(start_line.code, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Store a part of the body; the connection is not read until the result is done."""
        return self._body.add(chunk)

    def finish(self) -> None:
        """Mark the response as complete."""
        if self.status and self.exceeded is None and not self.finished.done():
            self._body.finish()
            self.finished.set_result(None)

    def on_connection_close(self) -> None:
        """Do nothing: reading ends without a call of `finish`."""

    def drop(self) -> None:
        """Drop a body that is not complete."""
        self._body.drop()

    @property
    def body(self) -> bytes:
        """Return the body received so far."""
        return self._body.value()

    @property
    def body_bytes(self) -> int:
        """Return the number of bytes received, also of a body that was dropped."""
        return self._body.size

    @property
    def share(self) -> ByteShare:
        """Return the body's share of the budget; it is to be kept as long as the body."""
        return self._body.share

    @property
    def exceeded(self) -> ExceededBound | None:
        """Return the bound that the body exceeded; None if it exceeded none."""
        return self._body.exceeded

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
