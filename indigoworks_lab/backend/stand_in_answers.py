"""Answers of a stand-in back end."""

import json

from indigoworks.backend import http_header_names as names
from indigoworks.backend.backend_response import BackendResponse
from indigoworks.backend.owned_request import OwnedRequest
from indigoworks_lab.backend.answer_body import AnswerBody
from indigoworks_lab.backend.execution_outcome import ExecutionOutcome
from indigoworks_lab.backend.key_state import KeyState
from indigoworks_lab.backend.stand_in_identity import StandInIdentity

STATUS_OK = 200
STATUS_WRONG_OWNER = 421
STATUS_SHED = 503
JSON_HEADER = ("Content-Type", "application/json")


def completed(identity: StandInIdentity, request: OwnedRequest, state: KeyState) -> BackendResponse:
    """Return the answer to a request that ran."""
    body = AnswerBody.of(identity, request, state).model_dump_json().encode()
    return BackendResponse(STATUS_OK, _headers(request), body)


def wrong_owner(request: OwnedRequest) -> BackendResponse:
    """Return the refusal of a request whose key the server does not own under its token."""
    body = _refusal("wrong_owner", "The server does not own the key under this token.")
    return BackendResponse(STATUS_WRONG_OWNER, _headers(request), body, is_wrong_owner=True)


def shed(request: OwnedRequest, retry_after_s: float, reason: ExecutionOutcome) -> BackendResponse:
    """Return the refusal of a request for load, or because its deadline has passed."""
    headers = (
        *_headers(request),
        (names.SHED, "1"),
        (names.RETRY_AFTER, f"{retry_after_s:g}"),
    )
    body = _refusal(reason.value, "The server did not run the request.")
    return BackendResponse(STATUS_SHED, headers, body, is_shed=True, retry_after_s=retry_after_s)


def _headers(request: OwnedRequest) -> tuple[tuple[str, str], ...]:
    return (JSON_HEADER, (names.REQUEST_ID, request.request_id))


def _refusal(kind: str, message: str) -> bytes:
    return json.dumps({"kind": kind, "message": message}).encode()
