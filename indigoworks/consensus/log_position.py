"""How far a log reaches."""

from dataclasses import dataclass

from indigoworks.wire.control_pb2 import Checkpoint


@dataclass(frozen=True, order=True)
class LogPosition:
    """Term and index of a log's last entry.

    Of two logs of one generation, the one with the greater position holds every entry that the
    other one may have committed.
    """

    last_term: int
    last_index: int


def position_of(checkpoint: Checkpoint) -> LogPosition:
    """Return how far a checkpoint reaches, its entries included."""
    if checkpoint.entries:
        last = checkpoint.entries[-1]
        return LogPosition(last.term, last.index)
    return LogPosition(checkpoint.last_term, checkpoint.last_index)
