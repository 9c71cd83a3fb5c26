"""A decision on who owns which keys."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RangeMove:
    """Keys `first` to `last` go from one server to another."""

    first: int
    last: int
    from_server: str
    to_server: str
    reason: str
