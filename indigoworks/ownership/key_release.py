"""An order to give keys up."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class KeyRelease:
    """The server starts no new work on keys `first` to `last`; later grants below `token` fail."""

    first: int
    last: int
    token: int
