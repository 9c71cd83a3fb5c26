"""How a server holds keys."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HeldKeys:
    """A lease on keys.

    :ivar until_s: true time at which the server's own clock ends it.
    :ivar counted_until_s: the same without the grants that the rules do not count, because they
        were held up in transit by a freeze or a cut.
    """

    token: int
    until_s: float
    counted_until_s: float
