"""An order to a server to give up keys."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class KeyRelease:
    """Makes a server give up keys `first` to `last`: it starts no new work on them.

    A server may also refuse later grants under tokens below `token`, but need not: it may not
    remember the token of a release. See HoldBounds.record_released.
    """

    first: int
    last: int
    token: int
