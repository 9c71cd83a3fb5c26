"""Datagrams by which a gateway asks peers which servers they reach."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReachQuery:
    """A question of one gateway; servers are named by their checksums (`server_checksum`).

    :ivar number: of the question, repeated in the reply.
    """

    node: str
    boot: str
    number: int
    servers: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class ReachReply:
    """A peer's reply.

    :ivar reached: those of the servers asked for that accept connections from the peer.
    """

    node: str
    boot: str
    number: int
    reached: tuple[int, ...]


ReachDatagram = ReachQuery | ReachReply
