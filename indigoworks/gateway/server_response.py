"""Result of one exchange with a server."""

from dataclasses import dataclass
from enum import Enum

from indigoworks.common.attempt_verdict import AttemptVerdict
from indigoworks.common.byte_share import ByteShare
from indigoworks.common.exceeded_bound import ExceededBound
from indigoworks.servers.self_reported_load import SelfReportedLoad

BROKEN = "broken"
"""Detail of a lost request whose connection broke off; any other one names what was invalid."""

OUT_OF_REACH = "out_of_reach"
"""Detail of a lost request that was taken back because its server went out of reach."""


class ExchangeResult(Enum):
    """Ways in which an exchange ends."""

    ANSWERED = "answered"
    NOT_SENT = "not_sent"
    """No connection was established: nothing reached the server."""
    HELD_BACK = "held_back"
    """Nothing was sent, because the server asked for a rest in another response meanwhile."""
    LOST = "lost"
    """The request was sent, and no complete response arrived: it may have run."""
    SILENT = "silent"
    """As LOST, because the deadline passed."""


@dataclass(frozen=True, slots=True)
class ServerResponse:
    """Result of an exchange; status, headers and body are set only if the server answered.

    :ivar is_signed: the response has the server's signature.
    :ivar verdict: what the attempt says against the server, once it was judged.
    :ivar server_load: the load that the server reported; None if it reported none.
    :ivar exceeded: the bound that ended the response, if that is why it is LOST.
    :ivar share: the body's share of the budget, kept as long as the body.
    """

    result: ExchangeResult
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    is_not_run: bool = False
    answering_id: str | None = None
    keep_alive_s: float | None = None
    detail: str = ""
    server_load: SelfReportedLoad | None = None
    is_signed: bool = False
    verdict: AttemptVerdict = AttemptVerdict.NEUTRAL
    exceeded: ExceededBound | None = None
    share: ByteShare | None = None

    @property
    def was_sent(self) -> bool:
        """Return whether anything may have reached the server."""
        return self.result not in (ExchangeResult.NOT_SENT, ExchangeResult.HELD_BACK)

    @property
    def may_have_run(self) -> bool:
        """Return whether the server may have run the request."""
        return self.was_sent and not self.is_not_run
