"""What a challenger has seen of the leader's row."""

from indigoworks.common.clock import Clock
from indigoworks.controllog.stored_leader import StoredLeader
from indigoworks.wire.control_pb2 import Member


class LeaderLeaseMonitor:
    """Tells when the leader's lease has surely ended, by the own clock only."""

    def __init__(self, member: Member, clock: Clock, lease_s: float) -> None:
        self._member = member
        self._clock = clock
        self._lease_s = lease_s
        self._version = -1
        self._first_seen_s = 0.0

    def record_version(self, version: int) -> None:
        """Note the version of the row, after it was read or told by the leader."""
        if version > self._version:
            self._version = version
            self._first_seen_s = self._clock.now()

    def has_lapsed(self, stored: StoredLeader) -> bool:
        """Tell whether the row that was read binds nobody any more.

        The write that takes it over is conditional on the version, so a renewal that was missed
        since refuses it.
        """
        if not stored.row.HasField("leader"):
            return True
        if self._is_ended(stored.row.leader):
            return True
        seen_for_s = self._clock.now() - self._first_seen_s
        return stored.version == self._version and seen_for_s >= self._lease_s

    def _is_ended(self, leader: Member) -> bool:
        """Tell whether the leader was this very run, in an epoch now over, or one before it.

        Two processes cannot hold one address: an earlier run there has ended.
        """
        own = self._member
        return (leader.host, leader.control_port) == (own.host, own.control_port)
