"""Monitors the leader's lease by the versions of its row."""

from indigoworks.common.clock import Clock
from indigoworks.controllog.stored_leader import StoredLeader
from indigoworks.wire.control_pb2 import Member


class LeaderLeaseMonitor:
    """Determines when the leader's lease has certainly ended, by the local clock only."""

    def __init__(self, member: Member, clock: Clock, lease_s: float) -> None:
        self._member = member
        self._clock = clock
        self._lease_s = lease_s
        self._version = -1
        self._first_seen_s = 0.0

    def record_version(self, version: int) -> None:
        """Record a version of the row that was read or reported by the leader."""
        if version > self._version:
            self._version = version
            self._first_seen_s = self._clock.now()

    def has_lapsed(self, stored: StoredLeader) -> bool:
        """Return whether the lease in a row that was just read has certainly ended.

        The write that claims leadership is conditional on the row's version, so it fails if a
        renewal was missed.
        """
        if not stored.row.HasField("leader"):
            return True
        if self._is_ended(stored.row.leader):
            return True
        seen_for_s = self._clock.now() - self._first_seen_s
        return stored.version == self._version and seen_for_s >= self._lease_s

    def _is_ended(self, leader: Member) -> bool:
        """Return whether the leader was this run in an earlier epoch, or an earlier run of it.

        Two processes cannot listen on one address: an earlier run there has ended.
        """
        own = self._member
        return (leader.host, leader.control_port) == (own.host, own.control_port)
