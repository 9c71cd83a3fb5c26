"""Collects one HTTP answer and tells whether it is whole."""

from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from indigoworks.backend.http_response import HttpResponse
from indigoworks.backend.transfer_deadline import TransferDeadline

STATUS_CONTINUE_LIMIT = 200
"""Statuses below this announce a later answer."""

STATUSES_WITHOUT_BODY = frozenset({204, 304})


class HttpResponseReader(HTTPMessageDelegate):
    """Receives the parts of one answer from the HTTP library.

    An answer is whole only if its length was announced and all of it came. A body that ends with
    the connection is never whole, because a lost connection looks the same.

    :param watch: told of each part as it comes.
    """

    def __init__(self, method: str, watch: TransferDeadline) -> None:
        self._method = method
        self._watch = watch
        self._status = 0
        self._headers: tuple[tuple[str, str], ...] = ()
        self._chunks: list[bytes] = []
        self._is_finished = False
        self._has_known_length = False
        self._keeps_connection = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Take status and headers."""
        assert isinstance(start_line, ResponseStartLine)
        if start_line.code < STATUS_CONTINUE_LIMIT:
            return
        self._watch.headers_received()
        self._status = start_line.code
        self._headers = tuple(headers.get_all())
        self._has_known_length = self._length_is_known(headers)
        is_closing = headers.get("Connection", "").lower() == "close"
        self._keeps_connection = start_line.version == "HTTP/1.1" and not is_closing

    def data_received(self, chunk: bytes) -> None:
        """Take a part of the body."""
        self._watch.chunk_received()
        self._chunks.append(chunk)

    def finish(self) -> None:
        """Take note that the library saw the end of the answer."""
        self._is_finished = True

    def on_connection_close(self) -> None:
        """Take note of nothing: an unfinished answer is lost."""

    @property
    def keeps_connection(self) -> bool:
        """Tell whether the server takes another request on this connection."""
        return self._keeps_connection

    def complete_response(self) -> HttpResponse | None:
        """Return the answer, or None where any of it is missing."""
        if not self._is_finished or not self._has_known_length:
            return None
        body = b"".join(self._chunks)
        return HttpResponse(self._status, self._headers, body, self._watch.headers_s)

    def _length_is_known(self, headers: HTTPHeaders) -> bool:
        if self._method == "HEAD" or self._status in STATUSES_WITHOUT_BODY:
            return True
        return "Content-Length" in headers or "Transfer-Encoding" in headers
