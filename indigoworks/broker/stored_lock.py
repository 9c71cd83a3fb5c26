"""Row of the store that holds the lock of a suspect request."""

from dataclasses import dataclass

from google.protobuf.message import DecodeError

from indigoworks.broker.broker_pb2 import StoredLockMessage


@dataclass(frozen=True, slots=True)
class StoredLock:
    """Lock of a suspect request, shared by all sides of a network partition.

    :ivar boot: boot id of the gateway that wrote it.
    :ivar number: number that this gateway gave to it, to recognize its own writes.
    :ivar mark: 64-bit mark of the request, see RequestMark.short.
    :ivar until_ms: expiry, as a reading of the store's steady clock in milliseconds.
    :ivar is_open: an attempt was served: until `until_ms` all attempts may go on.
    """

    boot: str
    number: int
    mark: int
    until_ms: int
    is_open: bool = False


def encode_lock(lock: StoredLock) -> bytes:
    """Return the lock encoded as the value of a row."""
    return StoredLockMessage(
        boot=lock.boot,
        number=lock.number,
        mark=lock.mark,
        until_ms=lock.until_ms,
        is_open=lock.is_open,
    ).SerializeToString()


def decode_lock(value: bytes) -> StoredLock | None:
    """Return the lock decoded from the value of a row, or None if it is invalid."""
    message = StoredLockMessage()
    try:
        message.ParseFromString(value)
    except DecodeError:
        return None
    return StoredLock(message.boot, message.number, message.mark, message.until_ms, message.is_open)
