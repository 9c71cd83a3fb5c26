"""Encodes and decodes the datagrams between gateways and brokers."""

from google.protobuf.message import DecodeError

from indigoworks.broker import broker_pb2 as pb
from indigoworks.broker.broker_datagram import BrokerDatagram, BrokerMessage
from indigoworks.broker.doubt_notice import DoubtNotice
from indigoworks.broker.slot_release import SlotRelease
from indigoworks.broker.slot_reply import SlotOutcome, SlotReply
from indigoworks.broker.slot_request import SlotRequest
from indigoworks.common.attempt_verdict import FAULTS, AttemptVerdict
from indigoworks.gateway.refusal import Refusal, RefusalReason
from indigoworks.quarantine.doubt import Doubt
from indigoworks.quarantine.request_mark import RequestMark
from indigoworks.servers.self_reported_load import SelfReportedLoad

MS_PER_S = 1000.0
PERCENT = 100.0
MAX_MS = 2**32 - 1

_OUTCOMES = {
    SlotOutcome.GRANTED: pb.SLOT_OUTCOME_GRANTED,
    SlotOutcome.QUEUED: pb.SLOT_OUTCOME_QUEUED,
    SlotOutcome.FULL: pb.SLOT_OUTCOME_FULL,
    SlotOutcome.REFUSED: pb.SLOT_OUTCOME_REFUSED,
    SlotOutcome.DECLINED: pb.SLOT_OUTCOME_DECLINED,
}
_OUTCOMES_BY_MESSAGE = {message: outcome for outcome, message in _OUTCOMES.items()}


def encode_datagram(datagram: BrokerDatagram) -> bytes:
    """Return the encoded datagram."""
    message = pb.BrokerDatagramMessage(node=datagram.node, boot=datagram.boot)
    content = datagram.content
    if isinstance(content, SlotRequest):
        _encode_request(content, message.request)
    elif isinstance(content, SlotReply):
        _encode_reply(content, message.reply)
    elif isinstance(content, DoubtNotice):
        _encode_doubts(content, message.doubts)
    else:
        _encode_release(content, message.release)
    return message.SerializeToString()


def decode_datagram(data: bytes) -> BrokerDatagram | None:
    """Return the decoded datagram, or None if it is invalid."""
    message = pb.BrokerDatagramMessage()
    try:
        message.ParseFromString(data)
    except DecodeError:
        return None
    content = _decode_content(message)
    return None if content is None else BrokerDatagram(message.node, message.boot, content)


def _decode_content(
    message: pb.BrokerDatagramMessage,
) -> BrokerMessage | None:
    kind = message.WhichOneof("content")
    if kind == "request":
        return _decode_request(message.request)
    if kind == "reply":
        return _decode_reply(message.reply)
    if kind == "release":
        return _decode_release(message.release)
    if kind == "doubts":
        return _decode_doubts(message.doubts)
    return None


def _encode_request(request: SlotRequest, message: pb.SlotRequestMessage) -> None:
    message.number = request.number
    message.service = request.service
    message.zone = request.zone
    message.group = request.group
    message.weight = request.weight
    message.priority = request.priority
    message.limit_ms = _milliseconds(request.limit_s)
    message.lease_ms = _milliseconds(request.lease_s)
    message.may_wait = request.may_wait
    message.tried.extend(request.tried)
    message.connected.extend(request.connected)
    message.caller_mark = request.caller_mark
    message.suspect_mark = request.suspect_mark
    message.is_repeatable = request.is_repeatable
    if request.key is not None:
        message.key = request.key


def _decode_request(message: pb.SlotRequestMessage) -> SlotRequest:
    return SlotRequest(
        number=message.number,
        service=message.service,
        zone=message.zone,
        group=message.group,
        weight=message.weight,
        priority=message.priority,
        limit_s=message.limit_ms / MS_PER_S,
        lease_s=message.lease_ms / MS_PER_S,
        may_wait=message.may_wait,
        tried=tuple(message.tried),
        caller_mark=message.caller_mark,
        suspect_mark=message.suspect_mark,
        connected=tuple(message.connected),
        key=message.key if message.HasField("key") else None,
        is_repeatable=message.is_repeatable,
    )


def _encode_reply(reply: SlotReply, message: pb.SlotReplyMessage) -> None:
    message.number = reply.number
    message.outcome = _OUTCOMES[reply.outcome]
    message.server = reply.server_id
    message.wait_ms = _milliseconds(reply.wait_s)
    message.wants_trials = reply.wants_trials
    refusal = reply.refusal
    if refusal is not None:
        message.refusal.reason = refusal.reason.value
        message.refusal.retry_after_ms = _milliseconds(refusal.retry_after_s)
        message.refusal.server = refusal.server_id
        message.refusal.in_flight = refusal.in_flight
        message.refusal.expected_ms = _milliseconds(refusal.expected_s)


def _decode_reply(message: pb.SlotReplyMessage) -> SlotReply | None:
    outcome = _OUTCOMES_BY_MESSAGE.get(message.outcome)
    if outcome is None:
        return None
    refusal = _decode_refusal(message.refusal) if message.HasField("refusal") else None
    if outcome is SlotOutcome.REFUSED and refusal is None:
        return None
    wait_s = message.wait_ms / MS_PER_S
    return SlotReply(message.number, outcome, message.server, refusal, wait_s, message.wants_trials)


def _decode_refusal(message: pb.RefusalMessage) -> Refusal | None:
    try:
        reason = RefusalReason(message.reason)
    except ValueError:
        return None
    return Refusal(
        reason,
        message.retry_after_ms / MS_PER_S,
        message.server,
        message.in_flight,
        message.expected_ms / MS_PER_S,
    )


def _encode_release(release: SlotRelease, message: pb.SlotReleaseMessage) -> None:
    message.number = release.number
    message.is_served = release.is_served
    message.is_unreached = release.is_unreached
    message.has_ended_server = release.has_crashed_server
    message.fault = release.verdict.value if release.verdict.is_fault else 0
    if release.server_load is not None:
        message.word.running = release.server_load.running
        message.word.waiting = release.server_load.waiting
        message.word.slots = release.server_load.slots
        message.word.pace_percent = round(release.server_load.pace * PERCENT)


def _decode_release(message: pb.SlotReleaseMessage) -> SlotRelease:
    server_load = None
    if message.HasField("word"):
        reported = message.word
        server_load = SelfReportedLoad(
            reported.running, reported.waiting, reported.slots, reported.pace_percent / PERCENT
        )
    return SlotRelease(
        message.number,
        message.is_served,
        server_load,
        message.is_unreached,
        message.has_ended_server,
        _decode_fault(message.fault),
    )


def _decode_fault(value: int) -> AttemptVerdict:
    """Return a fault; a value that a newer gateway may send says nothing here."""
    return next((each for each in FAULTS if each.value == value), AttemptVerdict.NEUTRAL)


def _encode_doubts(notice: DoubtNotice, message: pb.DoubtNoticeMessage) -> None:
    message.shares = notice.shares
    message.share = notice.share
    message.salt = notice.salt
    for each in notice.doubts:
        mark = each.mark
        message.doubts.add(
            number=each.number, head=mark.head, body=mark.body, is_lifted=each.is_lifted
        )


def _decode_doubts(message: pb.DoubtNoticeMessage) -> DoubtNotice:
    doubts = tuple(
        Doubt(each.number, RequestMark(each.head, each.body), each.is_lifted)
        for each in message.doubts
    )
    return DoubtNotice(doubts, message.shares, message.share, message.salt)


def _milliseconds(duration_s: float) -> int:
    return min(MAX_MS, max(0, round(min(duration_s, MAX_MS) * MS_PER_S)))
