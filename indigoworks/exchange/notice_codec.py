"""Notes of servers' wishes as messages."""

from indigoworks.common.limit_word import LimitWord
from indigoworks.exchange.exchange_pb2 import LimitMessage, NoticeMessage
from indigoworks.exchange.shared_notice import SharedNotice

MS_PER_S = 1000.0
MAX_AGE_MS = 2**32 - 1


def to_message(note: SharedNotice) -> NoticeMessage:
    """Return the message of a note."""
    return NoticeMessage(
        server=note.server,
        rest_left_ms=round(max(0.0, note.rest_left_s) * MS_PER_S),
        tellers=note.reporters,
        is_leaving=note.is_leaving,
        limit=None if note.limit is None else _limit_message(note.limit),
    )


def from_message(message: NoticeMessage) -> SharedNotice:
    """Return the note of a message."""
    return SharedNotice(
        message.server,
        message.rest_left_ms / MS_PER_S,
        tuple(message.tellers),
        message.is_leaving,
        _limit_word(message.limit) if message.HasField("limit") else None,
    )


def _limit_message(word: LimitWord) -> LimitMessage:
    return LimitMessage(
        per_s=word.per_s or 0.0,
        is_ended=word.per_s is None,
        age_ms=min(MAX_AGE_MS, round(word.age_s * MS_PER_S)),
    )


def _limit_word(message: LimitMessage) -> LimitWord:
    per_s = None if message.is_ended else max(0.0, message.per_s)
    return LimitWord(per_s, message.age_ms / MS_PER_S)
