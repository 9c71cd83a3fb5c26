"""HTTP adapter of the request interface of the back ends."""

from http import HTTPStatus
from urllib.parse import quote_from_bytes

from result import Err, Ok, Result

from indigoworks.backend import http_header_names as names
from indigoworks.backend.backend_response import BackendResponse
from indigoworks.backend.errors import BackendAnswerLost, BackendError
from indigoworks.backend.http_header_filter import end_to_end_headers
from indigoworks.backend.http_message import HttpMessage
from indigoworks.backend.http_response import HttpResponse
from indigoworks.backend.http_sender import HttpSender
from indigoworks.backend.owned_request import OwnedRequest
from indigoworks.common.address import Address
from indigoworks.common.clock import Clock

CONNECTIONS_PER_SERVER = 8
"""Default limit of connections from one router to one server, which accepts about 100 in all."""

STATUS_WRONG_OWNER = HTTPStatus.MISDIRECTED_REQUEST
STATUS_SHED = HTTPStatus.SERVICE_UNAVAILABLE
DEFAULT_RETRY_AFTER_S = 0.1
MS_PER_S = 1000

_CONTRACT_HEADERS = frozenset(
    name.lower()
    for name in (
        names.REQUEST_ID,
        names.SERVICE,
        names.KEY,
        names.GROUP,
        names.RANGE,
        names.TOKEN,
        names.INCARNATION,
        names.DEADLINE_MS,
    )
)


class HttpBackendRequests:
    """Sends owned requests over persistent HTTP connections. See BackendRequests."""

    def __init__(self, clock: Clock, connections_per_server: int = CONNECTIONS_PER_SERVER) -> None:
        self._clock = clock
        self._sender = HttpSender(clock, connections_per_server)

    async def send(
        self, address: Address, request: OwnedRequest
    ) -> Result[BackendResponse, BackendError]:
        """Send one request and wait for its complete response; see BackendRequests.send."""
        deadline_s = self._clock.now() + request.remaining_s

        def build() -> HttpMessage:
            return _message(request, deadline_s - self._clock.now())

        result = await self._sender.send(address, build, request.remaining_s)
        if result.is_err():
            return Err(result.unwrap_err())
        return _checked(address, request, result.unwrap())

    def forget(self, address: Address) -> None:
        """Close the idle connections to a server that left."""
        self._sender.forget(address)

    def close(self) -> None:
        """Close the idle connections."""
        self._sender.close()


def _message(request: OwnedRequest, remaining_s: float) -> HttpMessage:
    contract = (
        (names.REQUEST_ID, request.request_id),
        (names.SERVICE, request.service),
        (names.KEY, quote_from_bytes(request.key, safe="")),
        (names.GROUP, request.group),
        (names.RANGE, f"{request.range_start:#018x}-{request.range_end:#018x}"),
        (names.TOKEN, str(request.token)),
        (names.INCARNATION, request.server_incarnation),
        (names.DEADLINE_MS, str(max(0, int(remaining_s * MS_PER_S)))),
    )
    end_to_end = end_to_end_headers(request.headers)
    # The contract's headers of a caller are dropped, so that it cannot forge a grant.
    callers = tuple(pair for pair in end_to_end if pair[0].lower() not in _CONTRACT_HEADERS)
    return HttpMessage(request.method, request.path, contract + callers, request.body)


def _checked(
    address: Address, request: OwnedRequest, response: HttpResponse
) -> Result[BackendResponse, BackendError]:
    if response.header(names.REQUEST_ID) != request.request_id:
        return Err(_mismatched_response(address))
    return Ok(_to_backend_response(response))


def _to_backend_response(response: HttpResponse) -> BackendResponse:
    is_shed = response.status == STATUS_SHED and response.header(names.SHED) is not None
    return BackendResponse(
        status=response.status,
        headers=end_to_end_headers(response.headers),
        body=response.body,
        is_wrong_owner=response.status == STATUS_WRONG_OWNER,
        is_shed=is_shed,
        retry_after_s=_retry_after_s(response) if is_shed else 0.0,
    )


def _retry_after_s(response: HttpResponse) -> float:
    try:
        return max(0.0, float(response.header(names.RETRY_AFTER) or ""))
    except ValueError:
        return DEFAULT_RETRY_AFTER_S


def _mismatched_response(address: Address) -> BackendAnswerLost:
    return BackendAnswerLost(
        f"The back end at {address} answered another request than the one sent.",
        "Check that the server echoes Indigoworks-Request-Id and answers in order.",
    )
