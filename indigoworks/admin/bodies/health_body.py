"""Body of the state of a controller or gateway."""

from indigoworks.admin.bodies.body import Body
from indigoworks.admin.bodies.member_body import MemberBody


class HealthBody(Body):
    """Role and progress of the process that handled the request; see ControlPlaneStatus."""

    member: MemberBody
    role: str
    generation: int
    term: int
    leader: MemberBody | None
    commit_index: int
    settings_version: int
