"""For how long a leader may act."""

LEADER_LEASE_S = 6.0
"""A leader acts while its newest proof of leadership is younger."""
