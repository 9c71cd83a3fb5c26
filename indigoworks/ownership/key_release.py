"""An order to a server to give up keys."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class KeyRelease:
    """Stops new work on keys `first` to `last`; later grants under tokens below `token` fail."""

    first: int
    last: int
    token: int
