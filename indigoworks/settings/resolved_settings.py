"""Settings in force for a service, group and key."""

from dataclasses import dataclass

from indigoworks.settings.field_types import Hop
from indigoworks.settings.placement_settings import PlacementSettings


@dataclass(frozen=True)
class ResolvedSettings:
    """Every value after inheritance; the fields are those of Overrides and KeySettings.

    :ivar max_concurrency_per_group: None where there is no limit.
    :ivar own_range: the key has a range of its own.
    """

    weight: float
    request_timeout_s: float
    max_body_bytes: int
    max_queue_length: int
    max_queue_delay_s: float
    max_concurrency_per_group: int | None
    retry_limit: int
    retry_budget_ratio: float
    repeatable_methods: frozenset[str]
    repeatable_paths: tuple[str, ...]
    placement: PlacementSettings
    own_range: bool
    hop: Hop
