"""When operators may send a request again."""

LEADER_RETRY_AFTER_S = 2.0
"""Time after which a request may be repeated that found no leader, or whose leader has changed."""
