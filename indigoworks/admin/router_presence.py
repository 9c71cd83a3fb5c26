"""A router, or a gateway, as the process that reports it knows it."""

from dataclasses import dataclass

from indigoworks.wire.control_pb2 import Member


@dataclass(frozen=True)
class RouterPresence:
    """A router and the versions that it has in force.

    :ivar settings_version: version of the tree, or of a gateway's configuration, in force.
    :ivar view_version: version of its view of owners.
    :ivar since_poll_s: seconds since it last polled for its view; for a gateway, since its last
        report arrived.
    """

    member: Member
    settings_version: int
    view_version: int
    since_poll_s: float
