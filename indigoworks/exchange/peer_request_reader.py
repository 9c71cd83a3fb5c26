"""Reads one request of a peer within the budget of the process."""

from collections.abc import Callable

from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerRequest,
    RequestStartLine,
    ResponseStartLine,
)

from indigoworks.common.byte_budget import PROCESS_BUDGET
from indigoworks.common.byte_share import ByteShare, ByteUse
from indigoworks.common.held_body import HeldBody

NO_ROOM_STATUS = 503
"""Guarantees that the request has not run here."""


class PeerRequest(HTTPServerRequest):
    """A request whose body is counted as long as the request is kept.

    :ivar share: the body's share of the budget.
    """

    share: ByteShare


class PeerRequestReader(HTTPMessageDelegate):
    """Passes a complete request to `handle`; refuses one for whose body there is no room."""

    def __init__(
        self, connection: HTTPConnection, handle: Callable[[HTTPServerRequest], None]
    ) -> None:
        self._connection = connection
        self._handle = handle
        self._start_line = RequestStartLine("", "", "")
        self._headers = HTTPHeaders()
        self._body = HeldBody(PROCESS_BUDGET.share(ByteUse.REQUEST))
        self._has_room = True

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Store method, target and headers."""
        assert isinstance(start_line, RequestStartLine)
        self._start_line = start_line
        self._headers = headers

    def data_received(self, chunk: bytes) -> None:
        """Store a part of the body, or discard it if there is no room."""
        if self._has_room and self._body.share.take(len(chunk)):
            self._body.append(chunk)
            return
        self._has_room = False
        self._body.clear()

    def finish(self) -> None:
        """Pass the request on, which has been read completely."""
        self._body.share.finish()
        if not self._has_room:
            self._refuse()
            return
        request = PeerRequest(
            connection=self._connection, start_line=self._start_line, headers=self._headers
        )
        request.body = self._body.value()
        request.share = self._body.share
        self._handle(request)

    def on_connection_close(self) -> None:
        """Drop a request that is not complete."""
        self._body.clear()

    def _refuse(self) -> None:
        PROCESS_BUDGET.refused += 1
        start_line = ResponseStartLine("HTTP/1.1", NO_ROOM_STATUS, "")
        self._connection.write_headers(start_line, HTTPHeaders({"Content-Length": "0"}))
        self._connection.finish()
