"""Body of the state of a controller."""

from indigoworks.admin.bodies.body import Body
from indigoworks.admin.bodies.member_body import MemberBody


class HealthBody(Body):
    """Role and progress of the controller that responded."""

    member: MemberBody
    role: str
    generation: int
    term: int
    leader: MemberBody | None
    commit_index: int
    settings_version: int
