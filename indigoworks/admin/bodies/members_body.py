"""Body of the members of the control group."""

from indigoworks.admin.bodies.body import Body
from indigoworks.admin.bodies.member_body import MemberBody


class MembersBody(Body):
    """Voters and learners of the control group, and its leader where one is known."""

    voters: list[MemberBody]
    learners: list[MemberBody]
    leader: MemberBody | None
