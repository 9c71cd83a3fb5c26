"""Answers of the probes of a stand-in back end."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ProbeReport:
    """Health and load as the probes tell them; they lag and may lie."""

    is_healthy: bool
    busy_slots: int
    queue_length: int
