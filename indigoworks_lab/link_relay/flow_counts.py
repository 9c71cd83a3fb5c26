"""What a flow has carried and held back."""

from dataclasses import dataclass


@dataclass
class FlowCounts:
    """Counts since the start of the relay; they show whether a fault was felt.

    :ivar passed_bytes: bytes handed on.
    :ivar held_pieces: pieces of bytes that had to wait for the end of a cut.
    :ivar held_connections: new connections that had to wait for it.
    :ivar refused_connections: new connections refused.
    """

    passed_bytes: int = 0
    held_pieces: int = 0
    held_connections: int = 0
    refused_connections: int = 0
