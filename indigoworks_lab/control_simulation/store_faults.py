"""What is wrong with the simulated store."""

from dataclasses import dataclass
from enum import Enum


class StoreState(Enum):
    """Whether the store answers."""

    UP = "up"
    SILENT = "silent"
    REFUSING = "refusing"


@dataclass
class StoreFaults:
    """Faults that act now.

    :ivar slow_s: each answer takes up to so long more.
    :ivar lost_ratio: share of answers that are lost after the work was done.
    :ivar late_ratio: share of writes that are made LATE_WRITE_S later, without an answer.
    :ivar clock_jump_s: sum of the jumps of the store's steady clock.
    :ivar is_holding_writes: writes are made without an answer once the store has come back.
    """

    state: StoreState = StoreState.UP
    slow_s: float = 0.0
    lost_ratio: float = 0.0
    late_ratio: float = 0.0
    clock_jump_s: float = 0.0
    is_holding_writes: bool = False
