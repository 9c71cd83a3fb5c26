"""What a node tells about its place in the group."""

from dataclasses import dataclass

from indigoworks.consensus.role import Role
from indigoworks.wire.control_pb2 import Configuration, Member


@dataclass(frozen=True)
class ConsensusStatus:
    """Place of a node in its group.

    :ivar generation: generation of the group as the node knows it; 0 before it knows any.
    :ivar leader: the leader, as long as the node is in touch with it.
    :ivar commit_index: newest log index known to be committed.
    :ivar applied_index: newest log index applied to the replicated state.
    :ivar configuration: newest configuration in the node's log, committed or not.
    """

    member: Member
    role: Role
    generation: int
    term: int
    leader: Member | None
    commit_index: int
    applied_index: int
    configuration: Configuration
