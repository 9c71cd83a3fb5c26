"""How often each fault of the stand-in was in fact shown."""

from dataclasses import dataclass


@dataclass
class FaultCounts:
    """Requests met by each fault since the start."""

    refused_down: int = 0
    rate_limited: int = 0
    delayed: int = 0
    answers_lost: int = 0
