"""One request of a caller and its response."""

import asyncio
import contextlib
import socket
from dataclasses import replace
from typing import Any, Protocol

from eliot import log_message
from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError

from indigoworks.common.byte_budget import PROCESS_BUDGET
from indigoworks.common.byte_share import ByteUse
from indigoworks.common.clock import Clock
from indigoworks.common.held_body import HeldBody
from indigoworks.common.in_progress_counter import InProgressCounter
from indigoworks.gateway.client_request import ClientRequest
from indigoworks.gateway.client_response import ClientResponse
from indigoworks.gateway.header_names import HeaderNames
from indigoworks.gateway.hop_headers import end_to_end_headers
from indigoworks.gateway.response_writer import write_response
from indigoworks.routes.caller_limits import CallerLimits

MS_PER_S = 1000.0

BODILESS = frozenset({204, 304})

UNCONFIGURED = CallerLimits()
"""Default limits, those of a gateway that has no configuration yet."""

FAULT_ANSWER = ClientResponse(
    502,
    (("Content-Type", "text/plain; charset=utf-8"),),
    b"The gateway failed; the request may have run. See its log.\n",
)


class ExchangeHost(Protocol):
    """What an exchange needs of the server that it belongs to."""

    in_progress: InProgressCounter
    is_stopping: bool
    limits: CallerLimits

    def are_limits_outdated(self) -> bool:
        """Return whether a newer configuration may allow what the limits do not."""
        ...

    async def respond(self, request: ClientRequest) -> ClientResponse:
        """Return the response to one request."""
        ...

    def header_too_large(self, request: ClientRequest) -> ClientResponse:
        """Refuse a request whose header exceeds the limits."""
        ...

    def retry_later(self, request: ClientRequest) -> ClientResponse:
        """Refuse a request whose body exceeds outdated limits; the caller may retry."""
        ...

    def no_memory(self, request: ClientRequest) -> ClientResponse:
        """Refuse a request for whose body the process has no room."""
        ...


class FrontExchange(HTTPMessageDelegate):
    """Reads one request, answers it, and cancels its handling if the caller disconnects."""

    def __init__(
        self, server: ExchangeHost, connection: HTTPConnection, names: HeaderNames, clock: Clock
    ) -> None:
        self._server = server
        self._connection: Any = connection
        self._names = names
        self._clock = clock
        self._start_line = RequestStartLine("", "", "")
        self._headers = HTTPHeaders()
        self._body = HeldBody(PROCESS_BUDGET.share(ByteUse.REQUEST))
        self._body_bytes = 0
        self._is_header_too_large = False
        self._is_body_too_large = False
        self._is_out_of_memory = False
        self._task: asyncio.Task[None] | None = None
        self._idle_since_s = clock.now()
        self._first_limits = server.limits

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Store method, target and headers."""
        assert isinstance(start_line, RequestStartLine)
        self._start_line = start_line
        self._headers = headers
        is_outdated = self._server.are_limits_outdated()
        self._is_header_too_large = _header_bytes(start_line, headers) > self._most_header_bytes()
        # The library's body limit dates from when the connection became idle. Raise it to what the
        # limits allow now, or may allow if they are outdated.
        read_bytes = max(self._most_body_bytes(), UNCONFIGURED.max_body_bytes if is_outdated else 0)
        self._connection.set_max_body_size(read_bytes)

    def data_received(self, chunk: bytes) -> None:
        """Store a part of the body; one over the limits or the budget is read and discarded."""
        self._body_bytes += len(chunk)
        if self._body_bytes > self._most_body_bytes():
            self._is_body_too_large = True
        if self._is_body_too_large or self._is_out_of_memory:
            self._body.clear()
        elif self._body.share.take(len(chunk)):
            self._body.append(chunk)
        else:
            PROCESS_BUDGET.refused += 1
            self._is_out_of_memory = True
            self._body.clear()

    def finish(self) -> None:
        """Start handling the request, which has been read completely."""
        assert isinstance(self._connection, HTTP1Connection)
        self._body.share.finish()
        self._connection.set_close_callback(self.on_connection_close)
        self._task = asyncio.ensure_future(self._run(self._request()))

    def close_if_idle(self) -> None:
        """Close the connection unless any part of a request has arrived."""
        if self._is_before_header() and not self._has_bytes():
            self._connection.stream.close()

    def close_if_timed_out(self) -> None:
        """Close the connection if it exceeds the idle time-out or the header time-out."""
        known = self._known_limits()
        left_s = self._idle_since_s + max(each.idle_timeout_s for each in known)
        if self._clock.now() < left_s:
            return
        self.close_if_idle()
        left_s += max(each.header_timeout_s for each in known)
        if self._clock.now() >= left_s and self._is_before_header() and not self._is_readable():
            self._connection.stream.close()

    def _known_limits(self) -> tuple[CallerLimits, CallerLimits]:
        """Return the limits from when the connection became idle, and the current ones.

        A caller may rely on either."""
        return self._first_limits, self._server.limits

    def _most_header_bytes(self) -> int:
        return max(each.max_header_bytes for each in self._known_limits())

    def _most_body_bytes(self) -> int:
        return max(each.max_body_bytes for each in self._known_limits())

    def _is_before_header(self) -> bool:
        """Return whether the connection is open and no complete header has been read from it.

        If a header has been read but its reader has not run yet, no read is pending: the connection
        is not idle then.
        """
        stream = self._connection.stream
        if self._start_line.method or stream is None or stream.closed():
            return False
        return bool(stream.reading())

    def _has_bytes(self) -> bool:
        return self._connection.stream._read_buffer_size > 0 or self._is_readable()

    def _is_readable(self) -> bool:
        """Return whether the socket has unread bytes."""
        try:
            return bool(self._connection.stream.socket.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    @property
    def is_closed(self) -> bool:
        """Return whether the connection is closed."""
        stream = self._connection.stream
        return stream is None or bool(stream.closed())

    def on_connection_close(self) -> None:
        """Cancel the handling of the request when the caller disconnects."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self, request: ClientRequest) -> None:
        with self._server.in_progress.track():
            try:
                response = await self._answer(request)
            except asyncio.CancelledError:
                return
            except Exception as error:
                log_message(
                    message_type="request:fault",
                    level="ERROR",
                    request_id=request.request_id,
                    reason=f"{type(error).__name__}: {error}",
                )
                response = FAULT_ANSWER
            await self._write(request, response)
            self._body.clear()

    async def _answer(self, request: ClientRequest) -> ClientResponse:
        if self._is_header_too_large:
            return self._server.header_too_large(request)
        if self._is_body_too_large:
            return self._server.retry_later(request)
        if self._is_out_of_memory:
            return self._server.no_memory(request)
        return await self._server.respond(request)

    async def _write(self, request: ClientRequest, response: ClientResponse) -> None:
        headers = HTTPHeaders()
        for name, value in response.headers:
            headers.add(name, value)
        if response.status not in BODILESS:
            headers["Content-Length"] = str(len(response.body))
        if self._server.is_stopping:
            headers["Connection"] = "close"
        start_line = ResponseStartLine("HTTP/1.1", response.status, "")
        self._connection.set_close_callback(None)
        sent = response if request.method != "HEAD" else replace(response, body=b"")
        with contextlib.suppress(StreamClosedError, OSError):
            await write_response(self._connection, start_line, headers, sent)

    def _request(self) -> ClientRequest:
        headers = self._headers
        return ClientRequest(
            request_id=headers.get(self._names.request_id, ""),
            method=self._start_line.method,
            host=headers.get("Host", "").partition(":")[0],
            target=self._start_line.path,
            headers=end_to_end_headers(headers),
            body=self._body.value(),
            wait_s=_milliseconds(headers.get(self._names.deadline_ms)),
            key=_whole_number(headers.get(self._names.key)),
            arrived_s=self._clock.now(),
            caller=self._connection.context.remote_ip,
        )


def _header_bytes(start_line: RequestStartLine, headers: HTTPHeaders) -> int:
    """Return the length of a header written with one space after each colon."""
    first = len(" ".join(start_line)) + len("\r\n")
    fields = sum(len(name) + len(value) + len(": \r\n") for name, value in headers.get_all())
    return first + fields + len("\r\n")


def _milliseconds(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        return max(0.0, float(text)) / MS_PER_S
    except ValueError:
        return None


def _whole_number(text: str | None) -> int | None:
    return int(text) if text is not None and text.isascii() and text.isdecimal() else None
