"""Converts requests and responses between routers to and from protocol messages."""

from collections.abc import Iterable

from result import Err, Ok

from indigoworks.backend.backend_response import BackendResponse
from indigoworks.backend.owned_request import OwnedRequest
from indigoworks.router import errors
from indigoworks.router.dispatch_request import DispatchRequest
from indigoworks.router.dispatcher import DispatchResult
from indigoworks.router.errors import AnswerTooLarge, RouterError
from indigoworks.router.limits import MAX_BODY_BYTES
from indigoworks.router.outcome import Outcome
from indigoworks.wire import control_pb2

_ERRORS_BY_KIND: dict[str, type[RouterError]] = {
    error.kind: error
    for error in (
        errors.ViewExpired,
        errors.RouterStopping,
        errors.NoOwner,
        errors.WrongOwner,
        errors.OwnerUnreachable,
        errors.DispatcherUnreachable,
        errors.QueueFull,
        errors.WaitTooLong,
        errors.ServerShedding,
        errors.DeadlinePassed,
        errors.AnswerLost,
        errors.AlreadySent,
        errors.AnswerTooLarge,
        errors.RouterFault,
    )
}

_OUTCOMES = {
    Outcome.COMPLETED: control_pb2.OUTCOME_COMPLETED,
    Outcome.NOT_RUN: control_pb2.OUTCOME_NOT_RUN,
    Outcome.UNKNOWN: control_pb2.OUTCOME_UNKNOWN,
}


def forward_request(request: DispatchRequest, remaining_s: float) -> control_pb2.ForwardRequest:
    """Return the message that forwards `request` to its dispatcher."""
    owned = request.owned
    return control_pb2.ForwardRequest(
        request_id=owned.request_id,
        service=owned.service,
        key=owned.key,
        group=owned.group,
        method=owned.method,
        path=owned.path,
        headers=_header_messages(owned.headers),
        body=owned.body,
        range_start=owned.range_start,
        range_end=owned.range_end,
        token=owned.token,
        server_name=request.server_name,
        server_incarnation=owned.server_incarnation,
        remaining_s=remaining_s,
        is_repeatable=request.is_repeatable,
        generation=request.generation,
        settings_version=request.settings_version,
    )


def dispatch_request(message: control_pb2.ForwardRequest, now_s: float) -> DispatchRequest:
    """Return the request in `message`, which was received at `now_s` on the local clock.

    `remaining_s` does not count delays in transit; `deadline_clock_s`, a deadline on the local
    clock, does, and limits it if the sender could set it.
    """
    deadline_s = now_s + message.remaining_s
    if message.HasField("deadline_clock_s"):
        deadline_s = min(deadline_s, message.deadline_clock_s)
    owned = OwnedRequest(
        request_id=message.request_id,
        service=message.service,
        key=message.key,
        group=message.group,
        method=message.method,
        path=message.path,
        headers=_header_pairs(message.headers),
        body=message.body,
        range_start=message.range_start,
        range_end=message.range_end,
        token=message.token,
        server_incarnation=message.server_incarnation,
        remaining_s=message.remaining_s,
    )
    return DispatchRequest(
        owned=owned,
        server_name=message.server_name,
        deadline_s=deadline_s,
        is_repeatable=message.is_repeatable,
        generation=message.generation,
        settings_version=message.settings_version,
    )


def forward_reply(request_id: str, result: DispatchResult) -> control_pb2.ForwardReply:
    """Return the message that reports the result to the forwarding router."""
    if isinstance(result, Ok) and len(result.unwrap().body) > MAX_BODY_BYTES:
        result = Err(_answer_too_large(len(result.unwrap().body)))
    if isinstance(result, Ok):
        response = result.unwrap()
        return control_pb2.ForwardReply(
            request_id=request_id,
            outcome=control_pb2.OUTCOME_COMPLETED,
            status=response.status,
            headers=_header_messages(response.headers),
            body=response.body,
        )
    error = result.unwrap_err()
    return control_pb2.ForwardReply(
        request_id=request_id,
        outcome=_OUTCOMES[error.outcome],
        error_kind=error.kind,
        message=error.message,
        remedy=error.remedy,
        retry_after_s=error.retry_after_s,
        is_wrong_owner=isinstance(error, errors.WrongOwner),
    )


def dispatch_result(reply: control_pb2.ForwardReply) -> DispatchResult:
    """Return the result in `reply`; an error kind unknown to this version becomes AnswerLost."""
    if reply.outcome == control_pb2.OUTCOME_COMPLETED:
        return Ok(BackendResponse(reply.status, _header_pairs(reply.headers), reply.body))
    error_type = _ERRORS_BY_KIND.get(reply.error_kind, errors.AnswerLost)
    return Err(error_type(reply.message, reply.remedy, reply.retry_after_s))


def _header_messages(headers: Iterable[tuple[str, str]]) -> list[control_pb2.Header]:
    return [control_pb2.Header(name=name, value=value) for name, value in headers]


def _header_pairs(headers: Iterable[control_pb2.Header]) -> tuple[tuple[str, str], ...]:
    return tuple((header.name, header.value) for header in headers)


def _answer_too_large(size_bytes: int) -> AnswerTooLarge:
    return AnswerTooLarge(
        f"The request ran, but its response of {size_bytes} bytes exceeds {MAX_BODY_BYTES}.",
        "Ask for less at a time.",
    )
