"""Encodes and decodes forwarded requests and the replies."""

import math
from collections.abc import Callable, Iterable, Sequence

from google.protobuf.message import DecodeError

from indigoworks.forwarding import forward_pb2 as pb
from indigoworks.forwarding.forward_reply import ForwardOutcome, ForwardReply
from indigoworks.forwarding.forward_request import ForwardRequest

MS_PER_S = 1000.0
MAX_MS = 2**32 - 1
FINAL_STATUSES = range(200, 600)

_OUTCOMES = {
    ForwardOutcome.ANSWERED: pb.FORWARD_OUTCOME_ANSWERED,
    ForwardOutcome.REFUSED: pb.FORWARD_OUTCOME_REFUSED,
    ForwardOutcome.LOST: pb.FORWARD_OUTCOME_LOST,
    ForwardOutcome.UNROUTED: pb.FORWARD_OUTCOME_UNROUTED,
    ForwardOutcome.DECLINED: pb.FORWARD_OUTCOME_DECLINED,
}
_BY_NUMBER = {number: outcome for outcome, number in _OUTCOMES.items()}


def encode_forward_request(request: ForwardRequest) -> bytes:
    """Return the encoded request."""
    message = pb.ForwardRequestMessage(
        request_id=request.request_id,
        method=request.method,
        host=request.host,
        target=request.target,
        headers=_headers(request.headers),
        body=request.body,
        # Rounded up: the receiver must not take it for younger than it is.
        age_ms=_milliseconds(math.ceil, request.age_s),
        caller=request.caller,
        service=request.service,
        configuration_version=request.configuration_version,
        tried=request.tried,
    )
    if request.wait_s is not None:
        message.wait_ms = _milliseconds(math.floor, request.wait_s)
    if request.key is not None:
        message.key = request.key
    if request.is_for_dispatcher:
        message.is_for_dispatcher = True
    return message.SerializeToString()


def decode_forward_request(data: bytes) -> ForwardRequest | None:
    """Return the decoded request, or None if it is malformed."""
    message = pb.ForwardRequestMessage()
    try:
        message.ParseFromString(data)
    except DecodeError:
        return None
    return ForwardRequest(
        message.request_id,
        message.method,
        message.host,
        message.target,
        _pairs(message.headers),
        message.body,
        message.wait_ms / MS_PER_S if message.HasField("wait_ms") else None,
        message.key if message.HasField("key") else None,
        message.age_ms / MS_PER_S,
        message.caller,
        message.service,
        message.configuration_version,
        tuple(message.tried),
        message.is_for_dispatcher,
    )


def encode_forward_reply(reply: ForwardReply) -> bytes:
    """Return the encoded reply."""
    message = pb.ForwardReplyMessage(
        outcome=_OUTCOMES[reply.outcome],
        status=reply.status,
        headers=_headers(reply.headers),
        body=reply.body,
        reason=reply.reason,
        retry_after_ms=_milliseconds(math.ceil, reply.retry_after_s),
        configuration_version=reply.configuration_version,
        tried=reply.tried,
    )
    if reply.may_repeat:
        message.may_repeat = True
    return message.SerializeToString()


def decode_forward_reply(data: bytes) -> ForwardReply | None:
    """Return the decoded reply, or None if it is malformed or has an unknown outcome."""
    message = pb.ForwardReplyMessage()
    try:
        message.ParseFromString(data)
    except DecodeError:
        return None
    outcome = _BY_NUMBER.get(message.outcome)
    if outcome is None:
        return None
    if outcome is ForwardOutcome.ANSWERED and message.status not in FINAL_STATUSES:
        return None
    return ForwardReply(
        outcome,
        message.status,
        _pairs(message.headers),
        message.body,
        message.reason,
        message.retry_after_ms / MS_PER_S,
        message.configuration_version,
        tuple(message.tried),
        message.may_repeat,
    )


def _headers(headers: Iterable[tuple[str, str]]) -> list[pb.HeaderMessage]:
    return [pb.HeaderMessage(name=name, value=value) for name, value in headers]


def _pairs(headers: Sequence[pb.HeaderMessage]) -> tuple[tuple[str, str], ...]:
    return tuple((each.name, each.value) for each in headers)


def _milliseconds(round_to: Callable[[float], int], duration_s: float) -> int:
    return min(MAX_MS, max(0, round_to(min(duration_s, MAX_MS) * MS_PER_S)))
