"""How long a router may act upon its view."""

from indigoworks.common.lease_bounds import VIEW_LEASE_S


class ViewLease:
    """End of the validity of a router's view, on the router's own clock.

    The lease counts from the reading that the router took before it asked, less the staleness that
    the answer reports: a delayed answer can only shorten the lease, never lengthen it.
    """

    def __init__(self) -> None:
        self._valid_until_s: float | None = None

    def renew(self, asked_at_s: float, staleness_s: float) -> None:
        """Take a confirmation.

        :param asked_at_s: own clock when the confirmed request was sent.
        :param staleness_s: age of the sender's own confirmation, in seconds.
        """
        valid_until_s = asked_at_s - max(0.0, staleness_s) + VIEW_LEASE_S
        # An older confirmation that arrives later must not shorten what a newer one gave.
        if self._valid_until_s is None or valid_until_s > self._valid_until_s:
            self._valid_until_s = valid_until_s

    def is_valid(self, now_s: float) -> bool:
        """Tell whether the view may be used at `now_s`."""
        return self.remaining_s(now_s) > 0

    def remaining_s(self, now_s: float) -> float:
        """Return the seconds left at `now_s`; 0 when expired."""
        if self._valid_until_s is None:
            return 0.0
        return max(0.0, self._valid_until_s - now_s)
