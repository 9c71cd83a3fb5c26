"""Body of a router."""

from indigoworks.admin.bodies.body import Body
from indigoworks.admin.bodies.member_body import MemberBody


class RouterBody(Body):
    """A router, or a gateway's peer, and the versions that it has in force; see RouterPresence.

    :ivar since_poll_s: seconds since it last polled for its view; for a gateway's peer, since its
        last report arrived.
    """

    member: MemberBody
    settings_version: int
    view_version: int
    since_poll_s: float
