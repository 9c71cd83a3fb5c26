"""What the store keeps of the lock of a suspect request."""

from dataclasses import dataclass

from google.protobuf.message import DecodeError

from indigoworks.broker.broker_pb2 import StoredLockMessage


@dataclass(frozen=True, slots=True)
class StoredLock:
    """Who may send the next try, over all parts of a group whose members do not hear each other.

    :ivar boot: of the gateway that wrote this.
    :ivar number: of its lock, so that it knows its own writes.
    :ivar mark: of the request.
    :ivar until_ms: reading of the store's steady clock, in milliseconds, until which it holds.
    :ivar is_open: a try was served: until then every try may go on; else none but the holder's.
    """

    boot: str
    number: int
    mark: int
    until_ms: int
    is_open: bool = False


def encode_lock(lock: StoredLock) -> bytes:
    """Return the value of a row."""
    return StoredLockMessage(
        boot=lock.boot,
        number=lock.number,
        mark=lock.mark,
        until_ms=lock.until_ms,
        is_open=lock.is_open,
    ).SerializeToString()


def decode_lock(value: bytes) -> StoredLock | None:
    """Return what the value of a row says; None where it says nothing that can be read."""
    message = StoredLockMessage()
    try:
        message.ParseFromString(value)
    except DecodeError:
        return None
    return StoredLock(message.boot, message.number, message.mark, message.until_ms, message.is_open)
