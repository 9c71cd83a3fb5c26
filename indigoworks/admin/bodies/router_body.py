"""Body of a router."""

from indigoworks.admin.bodies.body import Body
from indigoworks.admin.bodies.member_body import MemberBody


class RouterBody(Body):
    """A router and the versions that it has in force.

    :ivar since_poll_s: seconds since it last polled for its view.
    """

    member: MemberBody
    settings_version: int
    view_version: int
    since_poll_s: float
