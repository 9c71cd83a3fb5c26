"""Encodes and decodes shared notices as protobuf messages."""

from indigoworks.common.limit_report import LimitReport
from indigoworks.exchange.exchange_pb2 import LimitMessage, NoticeMessage
from indigoworks.exchange.shared_notice import SharedNotice

MS_PER_S = 1000.0
MAX_AGE_MS = 2**32 - 1


def to_message(notice: SharedNotice) -> NoticeMessage:
    """Encode a notice."""
    return NoticeMessage(
        server=notice.server,
        rest_left_ms=round(max(0.0, notice.rest_left_s) * MS_PER_S),
        tellers=notice.reporters,
        is_leaving=notice.is_leaving,
        limit=None if notice.limit is None else _encode_limit(notice.limit),
    )


def from_message(message: NoticeMessage) -> SharedNotice:
    """Decode a notice."""
    return SharedNotice(
        message.server,
        message.rest_left_ms / MS_PER_S,
        tuple(message.tellers),
        message.is_leaving,
        _decode_limit(message.limit) if message.HasField("limit") else None,
    )


def _encode_limit(limit: LimitReport) -> LimitMessage:
    return LimitMessage(
        per_s=limit.per_s or 0.0,
        is_ended=limit.per_s is None,
        age_ms=min(MAX_AGE_MS, round(limit.age_s * MS_PER_S)),
    )


def _decode_limit(message: LimitMessage) -> LimitReport:
    per_s = None if message.is_ended else max(0.0, message.per_s)
    return LimitReport(per_s, message.age_ms / MS_PER_S)
