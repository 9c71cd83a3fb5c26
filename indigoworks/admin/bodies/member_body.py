"""Body of a member: one process of the system."""

from indigoworks.admin.bodies.body import Body
from indigoworks.wire.control_pb2 import Member


class MemberBody(Body):
    """One incarnation (run) of a process."""

    name: str
    incarnation: str
    zone: str
    host: str
    control_port: int
    http_port: int

    @classmethod
    def of(cls, member: Member) -> "MemberBody":
        """Return the body of `member`."""
        return cls(
            name=member.name,
            incarnation=member.incarnation,
            zone=member.zone,
            host=member.host,
            control_port=member.control_port,
            http_port=member.http_port,
        )
