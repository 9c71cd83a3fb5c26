"""A planned stop of a process of the system."""

from dataclasses import dataclass


@dataclass
class PlannedStop:
    """A process was asked to stop at `asked_s` and had ended at `ended_s`."""

    process: str
    asked_s: float
    ended_s: float | None = None
