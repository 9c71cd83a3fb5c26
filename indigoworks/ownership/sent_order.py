"""An order on its way to a server."""

from dataclasses import dataclass

from indigoworks.ownership.order_outcome import OrderResult


@dataclass(slots=True)
class SentOrder:
    """An order as it was sent, and what became of it.

    :ivar sent_s: clock reading at which it was handed on for sending.
    :ivar hold_s: hold of a grant, in seconds; None: a release.
    :ivar result: None while it is under way, and for good where the wait was cancelled.
    """

    kind: str
    service: str
    server_id: str
    first: int
    last: int
    token: int
    epoch: int
    timeout_s: float
    hold_s: float | None
    sent_s: float
    result: OrderResult | None = None
