"""What the leader knows about the members."""

from collections.abc import Sequence
from dataclasses import dataclass

from indigoworks.wire.control_pb2 import Member


@dataclass(frozen=True)
class MembershipFacts:
    """What the leader knows about the members; members are named by incarnation.

    :ivar own: the leader.
    :ivar live: members heard within the last moments, the leader included.
    :ivar caught_up: live learners whose log is nearly as long as the leader's.
    :ivar gone: members whose process is known to have ended.
    :ivar silent: members silent for long enough to be replaced.
    :ivar leaving: members that asked to leave.
    :ivar joining: processes that asked to join.
    :ivar is_own_leaving: the leader stops and needs a successor.
    """

    own: str
    live: frozenset[str]
    caught_up: frozenset[str]
    gone: frozenset[str]
    silent: frozenset[str]
    leaving: frozenset[str]
    joining: Sequence[Member]
    is_own_leaving: bool = False
