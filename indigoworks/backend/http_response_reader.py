"""Collects one HTTP response and checks that it is complete."""

from collections.abc import Awaitable, Callable

from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from indigoworks.backend.http_response import HttpResponse
from indigoworks.backend.transfer_deadline import TransferDeadline
from indigoworks.common.exceeded_bound import ExceededBound
from indigoworks.common.response_body import ResponseBody

FIRST_FINAL_STATUS = 200
"""Statuses below this precede the final response."""

STATUSES_WITHOUT_BODY = frozenset({204, 304})


class HttpResponseReader(HTTPMessageDelegate):
    """Receives the parts of one response from the HTTP library.

    A response is complete only if its length was declared and all of it arrived. A body that is
    ended by closing the connection never is, because a lost connection looks the same.

    :param deadline: extended with each part that arrives.
    :param on_cut: called if the response has to end for lack of memory.
    """

    def __init__(self, method: str, deadline: TransferDeadline, on_cut: Callable[[], None]) -> None:
        self._method = method
        self._deadline = deadline
        self._status = 0
        self._headers: tuple[tuple[str, str], ...] = ()
        self._body = ResponseBody(on_cut)
        self._is_finished = False
        self._has_known_length = False
        self._keeps_connection = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Record status and headers."""
        assert isinstance(start_line, ResponseStartLine)
        if start_line.code < FIRST_FINAL_STATUS:
            return
        self._deadline.headers_received()
        self._status = start_line.code
        self._headers = tuple(headers.get_all())
        self._has_known_length = self._length_is_known(headers)
        self._body.begin(headers)
        is_closing = headers.get("Connection", "").lower() == "close"
        self._keeps_connection = start_line.version == "HTTP/1.1" and not is_closing

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Record a chunk of the body; the connection is not read until the result is done."""
        self._deadline.chunk_received()
        return self._body.add(chunk)

    def finish(self) -> None:
        """Record that the library saw the end of the response."""
        self._is_finished = self.exceeded is None
        if self._is_finished:
            self._body.finish()

    def on_connection_close(self) -> None:
        """Do nothing: an unfinished response is incomplete."""

    def drop(self) -> None:
        """Drop a body that is not complete."""
        self._body.drop()

    @property
    def exceeded(self) -> ExceededBound | None:
        """Return the bound that the body exceeded; None if it exceeded none."""
        return self._body.exceeded

    @property
    def body_bytes(self) -> int:
        """Return the number of bytes received, also of a body that was dropped."""
        return self._body.size

    @property
    def keeps_connection(self) -> bool:
        """Return whether the server accepts another request on this connection."""
        return self._keeps_connection

    def complete_response(self) -> HttpResponse | None:
        """Return the response, or None if any of it is missing."""
        if not self._is_finished or not self._has_known_length:
            return None
        return HttpResponse(
            self._status,
            self._headers,
            self._body.value(),
            self._deadline.headers_s,
            self._body.share,
        )

    def _length_is_known(self, headers: HTTPHeaders) -> bool:
        if self._method == "HEAD" or self._status in STATUSES_WITHOUT_BODY:
            return True
        return "Content-Length" in headers or "Transfer-Encoding" in headers
