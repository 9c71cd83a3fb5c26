"""Encodes and decodes length-prefixed frames on a byte stream."""

import asyncio
import struct

from google.protobuf.message import DecodeError
from result import Err, Ok, Result

from indigoworks.wire.control_pb2 import Frame
from indigoworks.wire.errors import BadFrame, ConnectionLost, WireError

MAX_FRAME_BYTES = 16 * 1024 * 1024
"""Largest frame accepted, in bytes; a snapshot or a forwarded body must fit."""

_LENGTH = struct.Struct("!I")
_CHECK_PEER = "Check that the peer is an indigoworks process of this version."


def encode_frame(frame: Frame) -> bytes:
    """Return the bytes of `frame`: a 4-byte big-endian length, then the protobuf message.

    :raises ValueError: the frame is larger than MAX_FRAME_BYTES.
    """
    payload: bytes = frame.SerializeToString()
    if len(payload) > MAX_FRAME_BYTES:
        raise ValueError(f"frame of {len(payload)} bytes exceeds {MAX_FRAME_BYTES}")
    return _LENGTH.pack(len(payload)) + payload


async def read_frame(reader: asyncio.StreamReader) -> Result[Frame, WireError]:
    """Read one frame.

    :returns: the frame; ConnectionLost at the end of the stream; BadFrame for a length over
        the limit or bytes that do not decode, after which the connection must be closed.
    """
    try:
        header = await reader.readexactly(_LENGTH.size)
        (length,) = _LENGTH.unpack(header)
        if length > MAX_FRAME_BYTES:
            return Err(_too_long(length))
        payload = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, OSError) as error:
        return Err(_ended(error))
    try:
        return Ok(Frame.FromString(payload))
    except DecodeError:
        return Err(BadFrame("A peer sent bytes that are not a frame.", _CHECK_PEER))


def _too_long(length: int) -> BadFrame:
    return BadFrame(
        f"A peer announced a frame of {length} bytes; the limit is {MAX_FRAME_BYTES}.",
        _CHECK_PEER,
    )


def _ended(error: Exception) -> ConnectionLost:
    return ConnectionLost(
        f"The connection ended: {type(error).__name__}.",
        "Check that the peer runs and that the network path is up.",
    )
