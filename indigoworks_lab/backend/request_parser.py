"""Reads an owned request from the HTTP request that a router sent."""

from urllib.parse import unquote_to_bytes

from result import Err, Ok, Result
from tornado.httputil import HTTPHeaders, HTTPServerRequest

from indigoworks.backend import http_header_names as names
from indigoworks.backend.owned_request import OwnedRequest
from indigoworks_lab.backend.bad_request import BadRequest

MS_PER_S = 1000
HEXADECIMAL = 16

CONTRACT_HEADERS = frozenset(
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


def parse_request(request: HTTPServerRequest) -> Result[OwnedRequest, BadRequest]:
    """Return the request with its grant, or BadRequest where a header is missing or malformed."""
    try:
        return Ok(_owned_request(request))
    except (KeyError, ValueError) as error:
        return Err(
            BadRequest(
                f"A header of the back-end contract is missing or malformed: {error}.",
                "Send all Indigoworks headers of docs/design/backend-port.md.",
            )
        )


def _owned_request(request: HTTPServerRequest) -> OwnedRequest:
    headers = request.headers
    start, _, end = headers[names.RANGE].partition("-")
    return OwnedRequest(
        request_id=headers[names.REQUEST_ID],
        service=headers[names.SERVICE],
        key=unquote_to_bytes(headers[names.KEY]),
        group=headers.get(names.GROUP, ""),
        method=request.method or "",
        path=request.uri or "",
        headers=_others(headers),
        body=request.body,
        range_start=int(start, HEXADECIMAL),
        range_end=int(end, HEXADECIMAL),
        token=int(headers[names.TOKEN]),
        server_incarnation=headers[names.INCARNATION],
        remaining_s=int(headers[names.DEADLINE_MS]) / MS_PER_S,
    )


def _others(headers: HTTPHeaders) -> tuple[tuple[str, str], ...]:
    return tuple(pair for pair in headers.get_all() if pair[0].lower() not in CONTRACT_HEADERS)
