"""An order to a server to hold keys."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class KeyGrant:
    """Lets a server work on keys `first` to `last` under `token` for `hold_s` from its application.

    A server may apply it later than it arrives; see MAX_ORDER_DELAY_S.

    :ivar handover: data that the previous owner returned on release; None: there is none.
    """

    first: int
    last: int
    token: int
    hold_s: float
    handover: str | None = None
