"""The lease of one run of one back end, as the leader counts it."""

from indigoworks.controller.lease_timing import BACKEND_LEASE_S, LEASE_LAPSE_S


class ServerLease:
    """When the lease of one run of a server has surely lapsed, on the leader's clock.

    The end that is sent is a reading of the server's own clock plus the lease. The server took
    the reading before the leader received it, so the leader's count, which begins at receipt,
    ends later than the server's. A renewal that is delayed in the network changes nothing: it
    carries an end, not a length.
    """

    def __init__(self, lapse_at_s: float) -> None:
        """Begin with what an earlier leader may have granted.

        :param lapse_at_s: reading of the leader's clock after which no earlier grant holds.
        """
        self.lapse_at_s = lapse_at_s
        self._server_clock_s: float | None = None
        self._received_at_s = 0.0

    def record_reading(self, server_clock_s: float, received_at_s: float) -> None:
        """Record a reading of the server's clock and the leader's clock at its receipt."""
        self._server_clock_s = server_clock_s
        self._received_at_s = received_at_s

    @property
    def has_reading(self) -> bool:
        """Tell whether a reading of the server's clock is known."""
        return self._server_clock_s is not None

    def extend(self) -> float:
        """Count a renewal that is about to be sent, and return its end on the server's clock.

        It must be called before the renewal leaves, since the renewal may arrive even when its
        answer does not.
        """
        assert self._server_clock_s is not None, "a renewal needs a reading of the server's clock"
        self.lapse_at_s = max(self.lapse_at_s, self._received_at_s + LEASE_LAPSE_S)
        return self._server_clock_s + BACKEND_LEASE_S

    def has_lapsed(self, now_s: float) -> bool:
        """Tell whether no renewal sent so far can still hold at `now_s`."""
        return now_s >= self.lapse_at_s
