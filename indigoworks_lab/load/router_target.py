"""Load through routers."""

from collections.abc import Sequence
from http import HTTPStatus
from itertools import cycle

from indigoworks.backend.errors import BackendUnreachable
from indigoworks.backend.http_message import HttpMessage
from indigoworks.backend.http_response import HttpResponse
from indigoworks.backend.http_sender import HttpSender
from indigoworks.common.address import Address
from indigoworks.common.clock import Clock
from indigoworks.router import caller_headers
from indigoworks_lab.load.answer_check import is_own_answer
from indigoworks_lab.load.load_outcome import LoadOutcome
from indigoworks_lab.load.load_request import LoadRequest

CONNECTIONS_PER_ROUTER = 256
MS_PER_S = 1000
ANSWER_GRACE_S = 0.5
"""Time beyond the timeout in which the router may still tell the outcome."""

CLIENT_ERRORS = range(400, 500)

OUTCOMES = {"not-run": LoadOutcome.NOT_RUN, "unknown": LoadOutcome.UNKNOWN}


class RouterTarget:
    """Sends requests to routers in turn, over persistent connections."""

    def __init__(self, routers: Sequence[Address], clock: Clock) -> None:
        self._routers = cycle(routers)
        self._sender = HttpSender(clock, CONNECTIONS_PER_ROUTER)

    async def send(self, request: LoadRequest, timeout_s: float) -> LoadOutcome:
        """Send one request to the next router; see LoadTarget.send."""
        message = _message(request, timeout_s)
        sent = await self._sender.send(
            next(self._routers), lambda: message, timeout_s + ANSWER_GRACE_S
        )
        if sent.is_ok():
            return _outcome(request, sent.unwrap())
        if isinstance(sent.unwrap_err(), BackendUnreachable):
            return LoadOutcome.UNREACHABLE
        return LoadOutcome.UNKNOWN

    def close(self) -> None:
        """Close the connections."""
        self._sender.close()


def _message(request: LoadRequest, timeout_s: float) -> HttpMessage:
    headers = (
        (caller_headers.REQUEST_ID, request.request_id),
        (caller_headers.GROUP, request.group),
        (caller_headers.TIMEOUT_MS, str(int(timeout_s * MS_PER_S))),
    )
    return HttpMessage(request.method, request.path, headers, request.body)


def _outcome(request: LoadRequest, answer: HttpResponse) -> LoadOutcome:
    told = OUTCOMES.get(answer.header(caller_headers.OUTCOME) or "")
    if told is not None:
        return told
    if answer.status in CLIENT_ERRORS:
        return LoadOutcome.REFUSED
    if answer.status == HTTPStatus.OK and is_own_answer(request, answer.body):
        return LoadOutcome.COMPLETED
    return LoadOutcome.WRONG_ANSWER
