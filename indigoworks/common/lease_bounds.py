"""Bounds that leases of every kind rest on, and the lease of views."""

VIEW_LEASE_S = 2.0
"""Seconds for which a router may use a view after the moment at which it was confirmed current."""

MAX_CLOCK_DRIFT = 0.01
"""Largest difference in rate between any process's clock and true time, as a ratio."""

VIEW_LEASE_LAPSE_S = VIEW_LEASE_S * (1 + 2 * MAX_CLOCK_DRIFT)
"""Time on any other clock after which a view lease of VIEW_LEASE_S has surely lapsed."""
