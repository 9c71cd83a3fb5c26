"""Client side of one HTTP exchange, with bounds on the response."""

import re
from collections.abc import Awaitable

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
)
from tornado.iostream import UnsatisfiableReadError

from indigoworks.common.bounded_stream import BoundedStream
from indigoworks.common.exceeded_bound import ExceededBound

MAX_HEAD_BYTES = 64 * 1024
MAX_HEAD_LINES = 1000
"""Lines of a response's heads together. 64 KiB of the shortest lines, of which there may be 13,000,
held the event loop for 80 ms while the HTTP library parsed them; these take 8 ms."""

MAX_INTERIM = 10
"""Interim responses before the final one, as the HTTP library has it, which names no reason."""

MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_LENGTH_DIGITS = 18
LARGE_BODY_BYTES = 64 * 1024
"""A body from this size on is written after its head: the HTTP library joins what it gets at once,
and would hold the body twice."""

_STATUS_LINE = re.compile(r"HTTP/1\.[0-9] (?!101)[1-5][0-9]{2} .*", re.DOTALL)
"""Status lines that are read: a higher minor version is understood as 1.1 (RFC 9110, 2.5), and no
request asks for another protocol (101)."""

_INTERIM_START = (b"HTTP/1.1 1", b"HTTP/1.0 1")
_UNBOUNDED = 2**62
_PARAMETERS = HTTP1ConnectionParameters(max_header_size=MAX_HEAD_BYTES, max_body_size=_UNBOUNDED)


class BoundedHttpConnection(HTTP1Connection):
    """Ends a response at the first byte beyond its bounds; bodies are counted by their reader.

    The HTTP library bounds the bytes of each head, the number of interim responses, and the length
    of the line that begins a chunk.
    """

    def __init__(self, stream: BoundedStream) -> None:
        super().__init__(stream, True, _PARAMETERS)
        self._bounded = stream
        stream.heads = 0
        self._heads = 0
        self._head_bytes = 0
        self._head_lines = 0
        self._has_body = False

    @property
    def exceeded(self) -> ExceededBound | None:
        """Return the bound that the response exceeded; None if it exceeded none."""
        if self._bounded.exceeded is None and isinstance(
            self._bounded.error, UnsatisfiableReadError
        ):
            return ExceededBound.CHUNK_LINE if self._has_body else ExceededBound.HEAD
        return self._bounded.exceeded

    def write_message(
        self, start_line: RequestStartLine, headers: HTTPHeaders, body: bytes
    ) -> None:
        """Write a whole request."""
        if len(body) < LARGE_BODY_BYTES:
            self.write_headers(start_line, headers, body or None)
        else:
            self.write_headers(start_line, headers)
            self.write(body)
        self.finish()

    def _parse_headers(self, data: bytes) -> tuple[str, HTTPHeaders]:
        self._heads += 1
        self._head_bytes += len(data)
        if self._heads > MAX_INTERIM and data.lstrip().startswith(_INTERIM_START):
            self._exceed(ExceededBound.INTERIM)
        self._head_lines += data.count(b"\n")
        if self._head_bytes > MAX_HEAD_BYTES:
            self._exceed(ExceededBound.HEAD)
        if self._head_lines > MAX_HEAD_LINES:
            self._exceed(ExceededBound.HEAD_LINES)
        start_line, headers = super()._parse_headers(data)
        if not _STATUS_LINE.fullmatch(start_line):
            self._exceed(ExceededBound.STATUS_LINE)
        return start_line, headers

    def _read_body(
        self, code: int, headers: HTTPHeaders, delegate: HTTPMessageDelegate
    ) -> Awaitable[None] | None:
        self._has_body = True
        self._bounded.begin_body()
        length = headers.get("Content-Length", "")
        if length.isdecimal() and (len(length) > MAX_LENGTH_DIGITS or int(length) > MAX_BODY_BYTES):
            self._exceed(ExceededBound.LENGTH)
        return super()._read_body(code, headers, delegate)

    def _exceed(self, bound: ExceededBound) -> None:
        self._bounded.exceeded = bound
        raise HTTPInputError(f"response out of bounds: {bound.value}")
