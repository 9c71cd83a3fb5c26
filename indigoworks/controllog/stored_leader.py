"""Leader's row as stored in the table service."""

from dataclasses import dataclass

from indigoworks.wire.control_pb2 import LeaderRow


@dataclass(frozen=True)
class StoredLeader:
    """The row and its version; version 0: there is no row."""

    row: LeaderRow
    version: int
