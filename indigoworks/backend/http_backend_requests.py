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
"""Default bound of connections from one router to one server: of about 100 that it accepts."""

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
        """Send one request and wait for its whole answer; see BackendRequests.send."""
        deadline_s = self._clock.now() + request.remaining_s

        def build() -> HttpMessage:
            return _message(request, deadline_s - self._clock.now())

        sent = await self._sender.send(address, build, request.remaining_s)
        if sent.is_err():
            return Err(sent.unwrap_err())
        return _checked(address, request, sent.unwrap())

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
    passed_on = end_to_end_headers(request.headers)
    # A caller cannot smuggle in a grant: the headers of the contract are only ours.
    callers = tuple(pair for pair in passed_on if pair[0].lower() not in _CONTRACT_HEADERS)
    return HttpMessage(request.method, request.path, contract + callers, request.body)


def _checked(
    address: Address, request: OwnedRequest, answer: HttpResponse
) -> Result[BackendResponse, BackendError]:
    if answer.header(names.REQUEST_ID) != request.request_id:
        return Err(_foreign_answer(address))
    return Ok(_backend_answer(answer))


def _backend_answer(answer: HttpResponse) -> BackendResponse:
    is_shed = answer.status == STATUS_SHED and answer.header(names.SHED) is not None
    return BackendResponse(
        status=answer.status,
        headers=end_to_end_headers(answer.headers),
        body=answer.body,
        is_wrong_owner=answer.status == STATUS_WRONG_OWNER,
        is_shed=is_shed,
        retry_after_s=_retry_after_s(answer) if is_shed else 0.0,
    )


def _retry_after_s(answer: HttpResponse) -> float:
    try:
        return max(0.0, float(answer.header(names.RETRY_AFTER) or ""))
    except ValueError:
        return DEFAULT_RETRY_AFTER_S


def _foreign_answer(address: Address) -> BackendAnswerLost:
    return BackendAnswerLost(
        f"The back end at {address} answered another request than the one sent.",
        "Check that the server echoes Indigoworks-Request-Id and answers in order.",
    )
