"""Placement settings that one level of the tree may set."""

from typing import Annotated

from pydantic import Field

from indigoworks.settings.field_types import Preference
from indigoworks.settings.settings_model import SettingsModel

MIN_INITIAL_RANGES = 1
MAX_INITIAL_RANGES = 4096
MAX_MOVES_PER_MINUTE = 100_000.0
MAX_IMBALANCE_THRESHOLD = 100.0


class PlacementOverrides(SettingsModel):
    """Where ranges of a service go; a field left out is inherited.

    :ivar initial_ranges: number of ranges that a new service's key space is split into.
    :ivar move_budget_per_minute: moves of ranges per minute made only to improve the balance.
    :ivar prefer: what to minimise if not both: unavailable time, or moves of keys.
    :ivar imbalance_threshold: load of the busiest server over the mean, above which ranges move.
    """

    initial_ranges: Annotated[int, Field(ge=MIN_INITIAL_RANGES, le=MAX_INITIAL_RANGES)] | None = (
        None
    )
    move_budget_per_minute: (
        Annotated[float, Field(ge=0, le=MAX_MOVES_PER_MINUTE, allow_inf_nan=False)] | None
    ) = None
    prefer: Preference | None = None
    imbalance_threshold: (
        Annotated[float, Field(ge=1, le=MAX_IMBALANCE_THRESHOLD, allow_inf_nan=False)] | None
    ) = None
