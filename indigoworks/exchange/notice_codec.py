"""Notes of servers' wishes as messages."""

from indigoworks.exchange.exchange_pb2 import NoticeMessage
from indigoworks.exchange.notice_note import NoticeNote

MS_PER_S = 1000.0


def to_message(note: NoticeNote) -> NoticeMessage:
    """Return the message of a note."""
    return NoticeMessage(
        server=note.server,
        rest_left_ms=round(max(0.0, note.rest_left_s) * MS_PER_S),
        tellers=note.tellers,
        is_leaving=note.is_leaving,
    )


def from_message(message: NoticeMessage) -> NoticeNote:
    """Return the note of a message."""
    return NoticeNote(
        message.server,
        message.rest_left_ms / MS_PER_S,
        tuple(message.tellers),
        message.is_leaving,
    )
