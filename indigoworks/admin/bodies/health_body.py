"""Body of the state of the control group."""

from indigoworks.admin.bodies.body import Body
from indigoworks.admin.bodies.member_body import MemberBody


class HealthBody(Body):
    """The controller that answered, and how far it is."""

    member: MemberBody
    role: str
    generation: int
    term: int
    leader: MemberBody | None
    commit_index: int
    settings_version: int
