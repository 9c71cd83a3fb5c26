"""Body of the members of the control group."""

from indigoworks.admin.bodies.body import Body
from indigoworks.admin.bodies.member_body import MemberBody


class MembersBody(Body):
    """Controllers in contact with the leader, and the leader if one is known.

    The field names date from when controllers voted; `learners` is empty.
    """

    voters: list[MemberBody]
    learners: list[MemberBody]
    leader: MemberBody | None
