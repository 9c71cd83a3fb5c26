"""The final response to a caller."""

from dataclasses import dataclass, field

from indigoworks.common.byte_share import ByteShare
from indigoworks.gateway.refusal import Refusal
from indigoworks.gateway.response_outcome import ResponseOutcome


@dataclass(frozen=True, slots=True)
class ClientResponse:
    """Status, end-to-end headers and complete body.

    :ivar refusal: why the request was refused; None if it was not.
    :ivar share: the body's share of the budget, kept as long as the body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    outcome: ResponseOutcome = ResponseOutcome.ANSWERED
    refusal: Refusal | None = None
    share: ByteShare | None = field(default=None, compare=False)
