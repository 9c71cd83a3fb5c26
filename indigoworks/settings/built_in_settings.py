"""The values in force where no level of the settings tree sets one."""

from indigoworks.settings.key_settings import KeySettings
from indigoworks.settings.placement_overrides import PlacementOverrides

BUILT_IN_LEVEL = "built-in"

BUILT_IN_SETTINGS = KeySettings(
    weight=1.0,
    request_timeout_s=10.0,
    max_body_bytes=1024 * 1024,
    max_queue_length=100,
    max_queue_delay_s=1.0,
    max_concurrency_per_group=0,
    retry_limit=2,
    retry_budget_ratio=0.1,
    repeatable_methods=("GET", "HEAD", "OPTIONS"),
    repeatable_paths=(),
    placement=PlacementOverrides(
        initial_ranges=64,
        move_budget_per_minute=6.0,
        prefer="availability",
        imbalance_threshold=1.25,
    ),
    hop="dispatcher",
    own_range=False,
)
"""The level from which the root inherits; every field is set."""
