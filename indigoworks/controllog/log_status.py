"""Status of a node in its control group."""

from dataclasses import dataclass

from indigoworks.controllog.role import Role
from indigoworks.wire.control_pb2 import Configuration, Member


@dataclass(frozen=True)
class LogStatus:
    """Status of a node in its group.

    :ivar generation: generation of the log as far as the node knows; 0: unknown.
    :ivar term: newest known epoch.
    :ivar leader: the leader, while the node is connected to it.
    :ivar commit_index: log index up to which this node has applied the log; all of it is committed.
    :ivar configuration: controllers connected to the leader, as far as this node knows.
    """

    member: Member
    role: Role
    generation: int
    term: int
    leader: Member | None
    commit_index: int
    configuration: Configuration
