"""Timing of back-end leases, their renewal, and server discovery."""

from indigoworks.common.lease_bounds import lapse_duration_s

BACKEND_LEASE_S = 1.5
"""Duration of a back end's lease, counted from a reading of the back end's own clock."""

RENEWAL_INTERVAL_S = 0.4
"""Interval between lease renewals of one back end."""

RENEWAL_TIMEOUT_S = 0.4
"""Time after which an unanswered renewal counts as failed."""

LEASE_LAPSE_S = lapse_duration_s(BACKEND_LEASE_S)
"""Time on the controller's clock after which a lease of BACKEND_LEASE_S has certainly lapsed."""

FAILED_RENEWALS_BEFORE_LOSS = 2
"""Consecutive failed renewals that, together with a lapsed lease, make a server lost."""

DISCOVERY_INTERVAL_S = 1.0
"""Interval between reads of the platform's machine list."""
