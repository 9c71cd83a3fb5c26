"""The bound on clock drift that all leases assume, and the lease of a router's view."""

VIEW_LEASE_S = 2.0
"""Seconds for which a router may use a view after the moment at which it was confirmed current."""

MAX_CLOCK_DRIFT = 0.01
"""Largest deviation of any process's clock rate from true time, as a ratio."""


def lapse_duration_s(lease_s: float) -> float:
    """Return the time on any clock after which a lease of `lease_s` on any other clock has lapsed.

    The holder's clock may be slow and the observer's fast, each by MAX_CLOCK_DRIFT. The quotient
    is exact; 1 + 2 x drift would fall short by 2 x drift squared.
    """
    return lease_s * (1 + MAX_CLOCK_DRIFT) / (1 - MAX_CLOCK_DRIFT)


VIEW_LEASE_LAPSE_S = lapse_duration_s(VIEW_LEASE_S)
"""Time on any other clock after which a view lease of VIEW_LEASE_S has certainly lapsed."""
