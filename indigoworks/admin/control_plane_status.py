"""Role and progress of one controller or gateway."""

from dataclasses import dataclass

from indigoworks.wire.control_pb2 import Member


@dataclass(frozen=True)
class ControlPlaneStatus:
    """Role and progress that a controller or gateway reports of itself.

    :ivar member: this process.
    :ivar role: `leader` or `follower`.
    :ivar generation: controller: generation of its control group; gateway: era of the store.
    :ivar term: controller: term of its leader; gateway: epoch in the leader's row.
    :ivar leader: the leader that it knows, or None.
    :ivar commit_index: controller: index of the last committed log entry; gateway: version of the
        newest row of the control group that it applied.
    """

    member: Member
    role: str
    generation: int
    term: int
    leader: Member | None
    commit_index: int
