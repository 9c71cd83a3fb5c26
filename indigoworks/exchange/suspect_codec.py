"""Encodes and decodes records of suspect requests, as messages and as row values."""

from google.protobuf.message import DecodeError

from indigoworks.exchange.exchange_pb2 import StoredSuspectMessage, SuspectMessage
from indigoworks.exchange.stored_suspect import StoredSuspect
from indigoworks.exchange.suspect_record import SuspectRecord

MS_PER_S = 1000.0
NO_CRASH_MS = 2**32 - 1


def to_message(record: SuspectRecord) -> SuspectMessage:
    """Encode a record as a message."""
    return SuspectMessage(
        head=record.head,
        body=record.body,
        generation=record.generation,
        crashes=record.crashes,
        crashed_age_ms=_milliseconds(record.crashed_age_s),
        seen_age_ms=_milliseconds(record.seen_age_s),
        is_shared=record.is_shared,
    )


def from_message(message: SuspectMessage) -> SuspectRecord:
    """Decode a record from a message."""
    has_crash = message.crashed_age_ms != NO_CRASH_MS
    return SuspectRecord(
        head=message.head,
        body=message.body,
        generation=message.generation,
        crashes=tuple(message.crashes),
        crashed_age_s=message.crashed_age_ms / MS_PER_S if has_crash else float("inf"),
        seen_age_s=message.seen_age_ms / MS_PER_S,
        is_shared=message.is_shared,
    )


def encode_stored(stored: StoredSuspect) -> bytes:
    """Encode a stored record as the value of a row."""
    message = StoredSuspectMessage(suspect=to_message(stored.record), store_ms=stored.store_ms)
    return message.SerializeToString()


def decode_stored(value: bytes) -> StoredSuspect | None:
    """Decode the value of a row; None if it is malformed."""
    message = StoredSuspectMessage()
    try:
        message.ParseFromString(value)
    except DecodeError:
        return None
    return StoredSuspect(from_message(message.suspect), message.store_ms)


def _milliseconds(age_s: float) -> int:
    return round(max(0.0, min(age_s * MS_PER_S, NO_CRASH_MS)))
