"""The lease of a leader."""

LEADER_LEASE_S = 6.0
"""A leader may act while its newest proof of leadership is younger than this."""
