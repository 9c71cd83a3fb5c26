"""Role and progress of one controller."""

from dataclasses import dataclass

from indigoworks.wire.control_pb2 import Member


@dataclass(frozen=True)
class ControlPlaneStatus:
    """Role and progress that a controller reports.

    :ivar member: this controller.
    :ivar role: `leader` or `follower`.
    :ivar leader: the leader that it knows, or None.
    """

    member: Member
    role: str
    generation: int
    term: int
    leader: Member | None
    commit_index: int
