"""Placement settings in force for a service."""

from dataclasses import dataclass

from indigoworks.settings.field_types import Preference


@dataclass(frozen=True)
class PlacementSettings:
    """Resolved placement; the fields are those of PlacementOverrides."""

    initial_ranges: int
    move_budget_per_minute: float
    prefer: Preference
    imbalance_threshold: float
