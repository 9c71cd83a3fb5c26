"""Retry times returned to callers of the administration API."""

LEADER_RETRY_AFTER_S = 2.0
"""Retry time for a request that found no leader or whose leader changed."""
