"""Lease of a router's view: how long the router may act upon it."""

from indigoworks.common.lease_bounds import VIEW_LEASE_S


class ViewLease:
    """Expiry time of a router's view on the router's own clock.

    The lease starts at the clock reading taken before the poll was sent, less the staleness that
    the reply reports: a delayed reply never makes it last longer than the confirmation allows.
    """

    def __init__(self) -> None:
        self._valid_until_s: float | None = None

    def renew(self, asked_at_s: float, staleness_s: float) -> None:
        """Extend the lease by a confirmation.

        :param asked_at_s: local clock reading when the poll was sent.
        :param staleness_s: age of the controller's own confirmation, in seconds.
        """
        valid_until_s = asked_at_s - max(0.0, staleness_s) + VIEW_LEASE_S
        # An older confirmation that arrives late must not shorten the lease.
        if self._valid_until_s is None or valid_until_s > self._valid_until_s:
            self._valid_until_s = valid_until_s

    def is_valid(self, now_s: float) -> bool:
        """Tell whether the lease is valid at `now_s`."""
        return self.remaining_s(now_s) > 0

    def remaining_s(self, now_s: float) -> float:
        """Return the remaining seconds at `now_s`; 0 if it has expired."""
        if self._valid_until_s is None:
            return 0.0
        return max(0.0, self._valid_until_s - now_s)
