"""Encodes and decodes questions for servers in reach, and the replies."""

from google.protobuf.message import DecodeError

from indigoworks.exchange.reach_pb2 import ReachMessage
from indigoworks.exchange.reach_query import ReachDatagram, ReachQuery, ReachReply

MARK = b"\1"
"""First byte of these datagrams; no protobuf message, and so no report, begins with it."""


def is_reach_datagram(data: bytes) -> bool:
    """Return whether a datagram of the exchange is one of these."""
    return data.startswith(MARK)


def encode_reach_datagram(datagram: ReachDatagram) -> bytes:
    """Return the encoded datagram."""
    is_reply = isinstance(datagram, ReachReply)
    message = ReachMessage(
        node=datagram.node,
        boot=datagram.boot,
        number=datagram.number,
        is_reply=is_reply,
        servers=datagram.reached if isinstance(datagram, ReachReply) else datagram.servers,
    )
    return MARK + message.SerializeToString()


def decode_reach_datagram(data: bytes) -> ReachDatagram | None:
    """Return the decoded datagram, or None if it is malformed."""
    message = ReachMessage()
    try:
        message.ParseFromString(data[len(MARK) :])
    except DecodeError:
        return None
    if not message.node:
        return None
    servers = tuple(message.servers)
    if message.is_reply:
        return ReachReply(message.node, message.boot, message.number, servers)
    return ReachQuery(message.node, message.boot, message.number, servers)
