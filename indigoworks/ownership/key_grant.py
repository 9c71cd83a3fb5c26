"""An order to hold keys."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class KeyGrant:
    """The server may work on keys `first` to `last` under `token` for `hold_s` from its arrival.

    :ivar handover: what the last holder's release answered; None where there was none.
    """

    first: int
    last: int
    token: int
    hold_s: float
    handover: str | None = None
