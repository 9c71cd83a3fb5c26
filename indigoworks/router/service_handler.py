"""HTTP handler of callers' requests."""

import asyncio
import math
import re
import uuid
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result
from tornado.web import RequestHandler, stream_request_body

from indigoworks.common.in_progress_counter import InProgressCounter
from indigoworks.router import caller_headers as names
from indigoworks.router import refusals
from indigoworks.router.caller_request import CallerRequest
from indigoworks.router.caller_response import CallerResponse, response_from_error
from indigoworks.router.errors import BadRequest, RouterError, RouterFault
from indigoworks.router.limits import MAX_BODY_BYTES
from indigoworks.router.router import Router
from indigoworks.router.service_path import ServicePath, parse_service_path
from indigoworks.settings.settings_tree import DEFAULT_GROUP

MS_PER_S = 1000
MAX_TIMEOUT_MS = 3_600_000

REFUSED_BODY_BYTES = 64 * 1024 * 1024
"""A refused body up to this size is read and discarded, so that the caller gets a response instead
of a broken connection. For a larger one, and if the request has an Expect header, the response is
sent at once and the connection closed."""

BODY_TIMEOUT_S = 30.0
"""Timeout for receiving a body; then the connection is closed."""

_VISIBLE_ASCII = re.compile(r"^[\x21-\x7e]{1,128}$")

_BODILESS_STATUSES = frozenset({204, 304})


@dataclass(frozen=True)
class CallerContext:
    """Dependencies shared by the handlers of a router."""

    router: Router
    handling: InProgressCounter


@stream_request_body
class ServiceHandler(RequestHandler):
    """Handles METHOD /v1/SERVICE/KEY[/REST][?QUERY]."""

    SUPPORTED_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")

    def initialize(self, context: CallerContext) -> None:
        """Initialize the state of one request."""
        self._router = context.router
        self._handling = context.handling
        self._chunks: list[bytes] = []
        self._received_bytes = 0
        self._limit_bytes = MAX_BODY_BYTES
        self._running: asyncio.Task[CallerResponse] | None = None
        self._refusal: RouterError | None = None
        self._request_id = ""
        self._path = ServicePath("", b"")

    def prepare(self) -> None:
        """Validate the headers before the body is read."""
        self._request_id = self.request.headers.get(names.REQUEST_ID) or str(uuid.uuid4())
        if _VISIBLE_ASCII.match(self._request_id) is None:
            self._request_id = str(uuid.uuid4())
            self._refusal = _bad_request(names.REQUEST_ID, "1 to 128 visible ASCII characters")
        self._path = parse_service_path(self.request.uri or "")
        group = self._group()
        known_limit = self._router.max_body_bytes(self._path.service, group)
        self._limit_bytes = MAX_BODY_BYTES if known_limit is None else known_limit
        self._check_announced_body()

    def data_received(self, chunk: bytes) -> None:
        """Store a chunk of the body, or discard it if the request is refused."""
        self._received_bytes += len(chunk)
        if self._received_bytes > self._limit_bytes:
            self._refuse_body(self._received_bytes)
        if self._refusal is None:
            self._chunks.append(chunk)

    async def get(self) -> None:
        """Answer a request whose body has been read; every method is handled alike."""
        with self._handling.track():
            response = await self._response()
            if response is not None:
                self._write_response(response)
                await self.finish()

    head = get
    post = get
    put = get
    patch = get
    delete = get
    options = get

    def on_connection_close(self) -> None:
        """Cancel the request: the caller disconnected."""
        if self._running is not None:
            self._running.cancel()

    def compute_etag(self) -> str | None:
        """Add no ETag: responses are forwarded unchanged."""
        return None

    def check_xsrf_cookie(self) -> None:
        """Skip the check: callers are programs that send no cookies."""

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer after an exception or an HTTP error raised by the framework.

        An error below 500 is answered as an unsupported method.
        """
        if status_code == RouterFault.status or status_code >= 500:
            self._write_response(response_from_error(_fault()))
        else:
            self._write_response(response_from_error(_bad_request("The method", "a supported one")))
            self.set_status(status_code)
        self.finish()

    # ---- request ----

    def _check_announced_body(self) -> None:
        """Set size limit and timeout of the body; refuse one whose announced size is too large."""
        announced = self.request.headers.get("Content-Length", "0")
        size_bytes = int(announced) if announced.isdecimal() else 0
        connection: Any = self.request.connection
        connection.set_max_body_size(max(size_bytes, REFUSED_BODY_BYTES))
        if announced != "0" or "Transfer-Encoding" in self.request.headers:
            connection.set_body_timeout(BODY_TIMEOUT_S)
        if size_bytes <= self._limit_bytes:
            return
        self._refuse_body(size_bytes)
        expects_continue = "Expect" in self.request.headers
        if expects_continue or size_bytes > REFUSED_BODY_BYTES:
            self.set_header("Connection", "close")
            refusal = refusals.body_too_large(size_bytes, self._limit_bytes)
            self._write_response(response_from_error(refusal))
            self.finish()

    def _refuse_body(self, size_bytes: int) -> None:
        self._chunks.clear()
        if self._refusal is None:
            self._refusal = refusals.body_too_large(size_bytes, self._limit_bytes)

    async def _response(self) -> CallerResponse | None:
        """Return the response, or None if the caller disconnected."""
        request = self._caller_request()
        if isinstance(request, Err):
            return response_from_error(request.unwrap_err())
        self._running = asyncio.ensure_future(self._router.handle(request.unwrap()))
        try:
            return await self._running
        except asyncio.CancelledError:
            return None

    def _caller_request(self) -> Result[CallerRequest, RouterError]:
        if self._refusal is not None:
            return Err(self._refusal)
        timeout_s = self._timeout_s()
        if isinstance(timeout_s, Err):
            return timeout_s
        headers = self.request.headers
        return Ok(
            CallerRequest(
                request_id=self._request_id,
                service=self._path.service,
                key=self._path.key,
                group=self._group(),
                method=self.request.method or "",
                path=self.request.uri or "",
                headers=names.headers_for_backend(headers.get_all()),
                body=b"".join(self._chunks),
                timeout_s=timeout_s.unwrap(),
                idempotency_key=headers.get(names.IDEMPOTENCY_KEY),
            )
        )

    def _group(self) -> str:
        return self.request.headers.get(names.GROUP, DEFAULT_GROUP)

    def _timeout_s(self) -> Result[float | None, RouterError]:
        text = self.request.headers.get(names.TIMEOUT_MS)
        if text is None:
            return Ok(None)
        if not (text.isascii() and text.isdecimal() and 0 < int(text) <= MAX_TIMEOUT_MS):
            return Err(_bad_request(names.TIMEOUT_MS, f"a whole number up to {MAX_TIMEOUT_MS}"))
        return Ok(int(text) / MS_PER_S)

    # ---- response ----

    def _write_response(self, response: CallerResponse) -> None:
        self.set_status(response.status)
        self.clear_header("Content-Type")
        for name, value in names.headers_for_caller(response.headers):
            self.add_header(name, value)
        self.set_header(names.REQUEST_ID, self._request_id)
        self.set_header(names.OUTCOME, response.outcome.value)
        if response.retry_after_s > 0:
            self.set_header(names.RETRY_AFTER, str(math.ceil(response.retry_after_s)))
            self.set_header(names.RETRY_AFTER_MS, str(math.ceil(response.retry_after_s * MS_PER_S)))
        if self._router.is_stopping:
            self.set_header("Connection", "close")
        if response.status not in _BODILESS_STATUSES:
            self.write(response.body)


def _bad_request(what: str, expected: str) -> BadRequest:
    return BadRequest(f"{what} cannot be read.", f"Send {expected}.")


def _fault() -> RouterFault:
    return RouterFault(
        "The router failed on the request; it may have run.",
        "Check whether the request took effect, and see the router's log.",
    )
