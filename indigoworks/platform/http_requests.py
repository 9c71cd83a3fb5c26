"""Requests to the platform's HTTP interface, with its failures as typed errors."""

from http import HTTPStatus

from result import Err, Ok, Result
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from indigoworks.platform.errors import (
    PlatformError,
    PlatformOutcomeUnknown,
    PlatformRateLimited,
    PlatformUnavailable,
)
from indigoworks.platform.platform_response import PlatformResponse

REQUEST_TIMEOUT_S = 1.0
DEFAULT_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
MAX_REQUESTS_IN_PROGRESS = 16

_EXPECTED_STATUSES = frozenset({HTTPStatus.OK, HTTPStatus.NOT_FOUND, HTTPStatus.CONFLICT})
_CHECK_PLATFORM = "Check the platform and the setting platform_url."
_READ_BACK = "Read back before writing again."


class PlatformHttpRequests:
    """Sends requests to the platform, one per call; never retries.

    Uses tornado's simple client: it raises the error of the connect call itself, so a refused
    connection (nothing was sent) can be distinguished from one lost after sending.

    :param base_url: address of the platform, such as "http://10.0.0.1:8080".
    :param timeout_s: timeout of each request in seconds, connecting included.
    """

    def __init__(self, base_url: str, timeout_s: float = REQUEST_TIMEOUT_S) -> None:
        self._base_url = base_url.rstrip("/")
        self._timeout_s = timeout_s
        self._client = SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_REQUESTS_IN_PROGRESS,
            max_body_size=MAX_RESPONSE_BYTES,
        )

    async def send(
        self, method: str, path: str, body: bytes | None = None
    ) -> Result[PlatformResponse, PlatformError]:
        """Send one request and wait for the whole response.

        :returns: the response if its status is 200, 404 or 409; PlatformUnavailable or
            PlatformRateLimited when nothing took effect; PlatformOutcomeUnknown when the request
            may have taken effect.
        """
        request = HTTPRequest(
            self._base_url + path,
            method=method,
            body=body,
            connect_timeout=self._timeout_s,
            request_timeout=self._timeout_s,
            follow_redirects=False,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except ConnectionRefusedError:
            return Err(self._refused())
        except (HTTPClientError, OSError) as error:
            # A timeout or a reset may come after the request was sent: the platform may have
            # applied it, or may still apply it later.
            return Err(self._response_lost(error))
        return _interpret(response)

    def close(self) -> None:
        """Close the client; requests in progress end with PlatformOutcomeUnknown."""
        self._client.close()

    def _refused(self) -> PlatformUnavailable:
        return PlatformUnavailable(
            f"The platform at {self._base_url} refused the connection.",
            _CHECK_PLATFORM,
            DEFAULT_RETRY_AFTER_S,
        )

    def _response_lost(self, error: Exception) -> PlatformOutcomeUnknown:
        return PlatformOutcomeUnknown(
            f"No complete response from the platform at {self._base_url} ({error}).",
            _READ_BACK,
            DEFAULT_RETRY_AFTER_S,
        )


def without_effect(error: PlatformError) -> PlatformError:
    """Return the error for a read: a lost response to it means only that it failed."""
    if not isinstance(error, PlatformOutcomeUnknown):
        return error
    return PlatformUnavailable(error.message, _CHECK_PLATFORM, error.retry_after_s)


def unreadable_response(what: str) -> PlatformUnavailable:
    """Return the error for a response with an unexpected status or a malformed body."""
    return PlatformUnavailable(
        f"The platform's response for {what} cannot be read.",
        "Check that platform_url points to the platform.",
        DEFAULT_RETRY_AFTER_S,
    )


def _interpret(response: HTTPResponse) -> Result[PlatformResponse, PlatformError]:
    if response.code in _EXPECTED_STATUSES:
        return Ok(PlatformResponse(response.code, response.body))
    return Err(_error_of(response.code, _retry_after_s(response)))


def _error_of(status: int, retry_after_s: float) -> PlatformError:
    if status == HTTPStatus.TOO_MANY_REQUESTS:
        return PlatformRateLimited(
            "The platform's rate limit is reached.", "Send fewer requests.", retry_after_s
        )
    if status == HTTPStatus.SERVICE_UNAVAILABLE or status < HTTPStatus.INTERNAL_SERVER_ERROR:
        return PlatformUnavailable(
            f"The platform refused with status {status}.", _CHECK_PLATFORM, retry_after_s
        )
    return PlatformOutcomeUnknown(
        f"The platform failed with status {status}.", _READ_BACK, retry_after_s
    )


def _retry_after_s(response: HTTPResponse) -> float:
    text = response.headers.get("Retry-After", "")
    try:
        value_s = float(text)
    except ValueError:
        return DEFAULT_RETRY_AFTER_S
    if not 0.0 <= value_s <= MAX_RETRY_AFTER_S:
        return DEFAULT_RETRY_AFTER_S
    return value_s
