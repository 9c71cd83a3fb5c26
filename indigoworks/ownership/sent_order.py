"""An order that was sent to a server."""

from dataclasses import dataclass

from indigoworks.ownership.order_outcome import OrderResult


@dataclass(slots=True)
class SentOrder:
    """An order as it was sent, and its result.

    :ivar sent_s: clock reading when it was passed on for sending.
    :ivar hold_s: hold of a grant, in seconds; None: a release.
    :ivar result: None while it is in flight, or if the wait for the answer was cancelled.
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
