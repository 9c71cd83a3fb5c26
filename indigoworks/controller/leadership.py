"""Leadership of this controller during one term."""

from indigoworks.common.clock import Clock
from indigoworks.controller.lease_timing import LEASE_LAPSE_S
from indigoworks.controllog.control_log_node import ControlLogNode
from indigoworks.controllog.role import Role


class Leadership:
    """What this controller may do as the leader of one term.

    :ivar earlier_leases_lapse_at_s: reading of this clock at which every server lease that an
        earlier leader renewed has lapsed. An earlier leader renews only while it holds the leader
        lease, which ended before this term began, and from clock readings received by then.
    """

    def __init__(self, node: ControlLogNode, clock: Clock, term: int) -> None:
        self.term = term
        self.generation = node.status.generation
        self.earlier_leases_lapse_at_s = clock.now() + LEASE_LAPSE_S
        self._node = node
        self._clock = clock

    def is_current(self) -> bool:
        """Return whether the node is still the leader of this term."""
        status = self._node.status
        return status.role is Role.LEADER and status.term == self.term

    def may_grant(self) -> bool:
        """Return whether lease renewals may be sent: no other controller can lead at present."""
        return self.is_current() and self._node.holds_lease()

    def can_commit(self) -> bool:
        """Return whether commands can currently be committed to the log."""
        return self._node.can_commit()

    def have_earlier_leases_lapsed(self) -> bool:
        """Return whether every lease renewed by an earlier leader has lapsed."""
        return self._clock.now() >= self.earlier_leases_lapse_at_s
