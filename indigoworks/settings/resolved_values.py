"""Builds ResolvedSettings from values by field name."""

from collections.abc import Mapping
from typing import Any, cast

from indigoworks.settings.placement_settings import PlacementSettings
from indigoworks.settings.resolved_settings import ResolvedSettings
from indigoworks.settings.setting_origin import SettingValue


def resolved_settings(values: Mapping[str, SettingValue]) -> ResolvedSettings:
    """Return the settings for a complete set of values, keyed as in SettingOrigin.name."""
    typed = cast(Mapping[str, Any], values)  # the models have checked each value's type
    return ResolvedSettings(
        weight=typed["weight"],
        request_timeout_s=typed["request_timeout_s"],
        max_body_bytes=typed["max_body_bytes"],
        max_queue_length=typed["max_queue_length"],
        max_queue_delay_s=typed["max_queue_delay_s"],
        max_concurrency_per_group=typed["max_concurrency_per_group"] or None,
        retry_limit=typed["retry_limit"],
        retry_budget_ratio=typed["retry_budget_ratio"],
        repeatable_methods=frozenset(typed["repeatable_methods"]),
        repeatable_paths=typed["repeatable_paths"],
        placement=_placement_settings(typed),
        own_range=typed["own_range"],
        hop=typed["hop"],
    )


def _placement_settings(typed: Mapping[str, Any]) -> PlacementSettings:
    return PlacementSettings(
        initial_ranges=typed["placement.initial_ranges"],
        move_budget_per_minute=typed["placement.move_budget_per_minute"],
        prefer=typed["placement.prefer"],
        imbalance_threshold=typed["placement.imbalance_threshold"],
    )
