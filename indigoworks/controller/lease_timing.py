"""Durations of the back ends' leases and of their renewal."""

from indigoworks.common.lease_bounds import lapse_of

BACKEND_LEASE_S = 1.5
"""Length of a back end's lease, on its own clock, from the reading that the lease is based on."""

RENEWAL_INTERVAL_S = 0.4
"""Time between two renewals of one back end."""

RENEWAL_TIMEOUT_S = 0.4
"""Time after which a renewal without an answer counts as failed."""

LEASE_LAPSE_S = lapse_of(BACKEND_LEASE_S)
"""Time on the controller's clock after which a lease of BACKEND_LEASE_S has surely lapsed."""

FAILED_RENEWALS_BEFORE_LOSS = 2
"""Failed renewals in a row, besides the lapse, before a server is declared lost."""

DISCOVERY_INTERVAL_S = 1.0
"""Time between two reads of the platform's machine list."""
