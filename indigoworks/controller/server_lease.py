"""The leader's record of the lease of one back-end incarnation."""

from indigoworks.controller.lease_timing import BACKEND_LEASE_S, LEASE_LAPSE_S


class ServerLease:
    """Tracks when the lease of one server incarnation has certainly lapsed, on the leader's clock.

    A renewal carries an end: a reading of the server's own clock plus the lease duration. The
    server took the reading before the leader received it, so the leader's count, which starts at
    receipt, ends later than the server's. A renewal that is delayed in the network is harmless
    because it carries an end, not a duration.
    """

    def __init__(self, lapse_at_s: float) -> None:
        """Start from the leases that an earlier leader may have granted.

        :param lapse_at_s: reading of the leader's clock after which no earlier lease is valid.
        """
        self.lapse_at_s = lapse_at_s
        self._server_clock_s: float | None = None
        self._received_at_s = 0.0

    def record_reading(self, server_clock_s: float, received_at_s: float) -> None:
        """Record a reading of the server's clock, and of the leader's clock at its receipt."""
        self._server_clock_s = server_clock_s
        self._received_at_s = received_at_s

    @property
    def has_reading(self) -> bool:
        """Return whether a reading of the server's clock is known."""
        return self._server_clock_s is not None

    def extend(self) -> float:
        """Record a renewal that is about to be sent; return its end on the server's clock.

        Must be called before the renewal is sent: it may arrive even if its response is lost.
        """
        assert self._server_clock_s is not None, "a renewal needs a reading of the server's clock"
        self.lapse_at_s = max(self.lapse_at_s, self._received_at_s + LEASE_LAPSE_S)
        return self._server_clock_s + BACKEND_LEASE_S

    def has_lapsed(self, now_s: float) -> bool:
        """Return whether every lease granted so far has lapsed at `now_s`."""
        return now_s >= self.lapse_at_s
