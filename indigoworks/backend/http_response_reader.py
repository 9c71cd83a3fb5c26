"""Collects one HTTP response and checks that it is complete."""

from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from indigoworks.backend.http_response import HttpResponse
from indigoworks.backend.transfer_deadline import TransferDeadline

FIRST_FINAL_STATUS = 200
"""Statuses below this precede the final response."""

STATUSES_WITHOUT_BODY = frozenset({204, 304})


class HttpResponseReader(HTTPMessageDelegate):
    """Receives the parts of one response from the HTTP library.

    A response is complete only if its length was declared and all of it arrived. A body that is
    ended by closing the connection never is, because a lost connection looks the same.

    :param deadline: extended with each part that arrives.
    """

    def __init__(self, method: str, deadline: TransferDeadline) -> None:
        self._method = method
        self._deadline = deadline
        self._status = 0
        self._headers: tuple[tuple[str, str], ...] = ()
        self._chunks: list[bytes] = []
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
        is_closing = headers.get("Connection", "").lower() == "close"
        self._keeps_connection = start_line.version == "HTTP/1.1" and not is_closing

    def data_received(self, chunk: bytes) -> None:
        """Record a chunk of the body."""
        self._deadline.chunk_received()
        self._chunks.append(chunk)

    def finish(self) -> None:
        """Record that the library saw the end of the response."""
        self._is_finished = True

    def on_connection_close(self) -> None:
        """Do nothing: an unfinished response is incomplete."""

    @property
    def keeps_connection(self) -> bool:
        """Return whether the server accepts another request on this connection."""
        return self._keeps_connection

    def complete_response(self) -> HttpResponse | None:
        """Return the response, or None if any of it is missing."""
        if not self._is_finished or not self._has_known_length:
            return None
        body = b"".join(self._chunks)
        return HttpResponse(self._status, self._headers, body, self._deadline.headers_s)

    def _length_is_known(self, headers: HTTPHeaders) -> bool:
        if self._method == "HEAD" or self._status in STATUSES_WITHOUT_BODY:
            return True
        return "Content-Length" in headers or "Transfer-Encoding" in headers
