"""Interface of the state machine that the log replicates."""

from typing import Protocol

from indigoworks.wire.control_pb2 import Command


class ReplicatedState(Protocol):
    """A state machine driven by the replicated log. Calls are synchronous and must not fail."""

    def apply(self, index: int, command: Command) -> None:
        """Apply the committed command at log index `index`; indices come without gaps."""
        ...

    def snapshot(self) -> bytes:
        """Return the complete state as bytes."""
        ...

    def restore(self, snapshot: bytes) -> None:
        """Replace the state by a snapshot; empty bytes are the initial state."""
        ...
