"""Encodes and decodes the datagrams of witnesses."""

import math

from google.protobuf.message import DecodeError

from indigoworks.exchange import witness_pb2 as pb
from indigoworks.exchange.open_grants import OpenGrants, OpenServer
from indigoworks.exchange.process_id import ProcessId
from indigoworks.exchange.witness_datagram import (
    Acknowledgement,
    FenceReply,
    FenceRequest,
    WitnessDatagram,
    WitnessMessage,
)

MARK = b"\0"
"""First byte of these datagrams; no protobuf message, and so no report, begins with it."""

MS_PER_S = 1000.0
MAX_MS = 2**32 - 1


def is_witness_datagram(data: bytes) -> bool:
    """Return whether a datagram of the exchange is one of these."""
    return data.startswith(MARK)


def encode_witness_datagram(datagram: WitnessDatagram) -> bytes:
    """Return the encoded datagram."""
    sender, content = datagram.sender, datagram.content
    message = pb.WitnessDatagramMessage(
        node=sender.node, boot=sender.boot, target_boot=datagram.target_boot
    )
    if isinstance(content, OpenGrants):
        message.grants.CopyFrom(_grants_message(content))
    elif isinstance(content, Acknowledgement):
        message.acknowledgement.epoch = content.epoch
        message.acknowledgement.number = content.number
    elif isinstance(content, FenceRequest):
        message.fence_request.epoch = content.epoch
    else:
        message.fence_reply.epoch = content.epoch
        if content.grants is not None:
            message.fence_reply.grants.CopyFrom(_grants_message(content.grants))
    return MARK + message.SerializeToString()


def decode_witness_datagram(data: bytes) -> WitnessDatagram | None:
    """Return the decoded datagram, or None if it is malformed."""
    message = pb.WitnessDatagramMessage()
    try:
        message.ParseFromString(data[len(MARK) :])
    except DecodeError:
        return None
    content = _content(message)
    if content is None or not message.node:
        return None
    return WitnessDatagram(ProcessId(message.node, message.boot), message.target_boot, content)


def _content(message: pb.WitnessDatagramMessage) -> WitnessMessage | None:
    kind = message.WhichOneof("content")
    if kind == "grants":
        return _grants(message.grants)
    if kind == "acknowledgement":
        return Acknowledgement(message.acknowledgement.epoch, message.acknowledgement.number)
    if kind == "fence_request":
        return FenceRequest(message.fence_request.epoch)
    if kind == "fence_reply":
        reply = message.fence_reply
        grants = _grants(reply.grants) if reply.HasField("grants") else None
        return FenceReply(reply.epoch, grants)
    return None


def _grants_message(grants: OpenGrants) -> pb.OpenGrantsMessage:
    message = pb.OpenGrantsMessage(
        epoch=grants.epoch,
        number=grants.number,
        left_ms=_milliseconds_up(grants.left_s),
        hold_ms=_milliseconds_up(grants.hold_s),
    )
    for each in grants.servers:
        message.servers.add(
            server=each.server_id,
            left_ms=_milliseconds_up(each.left_s),
            is_silent=each.is_silent,
        )
    return message


def _grants(message: pb.OpenGrantsMessage) -> OpenGrants:
    servers = tuple(
        OpenServer(each.server, each.left_ms / MS_PER_S, each.is_silent) for each in message.servers
    )
    return OpenGrants(
        message.epoch,
        message.number,
        message.left_ms / MS_PER_S,
        message.hold_ms / MS_PER_S,
        servers,
    )


def _milliseconds_up(duration_s: float) -> int:
    """Return a duration in milliseconds, rounded up: others wait for this time to pass."""
    return min(MAX_MS, max(0, math.ceil(min(duration_s, MAX_MS) * MS_PER_S)))
