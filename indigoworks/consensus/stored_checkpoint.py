"""A checkpoint as it stands in the table service."""

from dataclasses import dataclass

from indigoworks.wire.control_pb2 import Checkpoint


@dataclass(frozen=True)
class StoredCheckpoint:
    """A checkpoint and the version of its row."""

    checkpoint: Checkpoint
    version: int
