"""Body of the members of the control group."""

from indigoworks.admin.bodies.body import Body
from indigoworks.admin.bodies.member_body import MemberBody


class MembersBody(Body):
    """Members of the control group in contact, and the leader if one is known.

    From a controller, these are the controllers in contact with the leader; from a gateway, itself
    and the peers whose reports it receives.

    The field names date from when controllers voted; `learners` is empty.
    """

    voters: list[MemberBody]
    learners: list[MemberBody]
    leader: MemberBody | None
