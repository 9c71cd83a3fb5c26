"""Questions to relays that are under way."""

import asyncio
from collections.abc import Callable

from result import Err, Result

from indigoworks.backend.errors import BackendError, BackendUnreachable
from indigoworks.backend.http_message import HttpMessage
from indigoworks.backend.http_response import HttpResponse
from indigoworks.backend.http_sender import HttpSender
from indigoworks.backend.transfer_limits import TransferLimits
from indigoworks.exchange.peer_address import PeerAddress

TRANSFER_LIMITS = TransferLimits(idle_timeout_s=1.0, total_timeout_s=5.0)
"""Of an answer whose headers have come. A relay that is lost in the middle of one is noticed as
soon as a store is, and packets that queue on a full link for some tenths of a second end none;
computed, 0.06 MB, a compressed configuration of 2,533 routes, come within the whole over a fiftieth
of a link of 5 Mbit/s."""


class RelayClient:
    """Asks relays; when one of them has failed, all questions that wait there end.

    Questions for tables that seldom change wait for up to 25 s. A relay that froze leaves them all
    unanswered; the feed that probes the path notices it within 1 s, and nobody else would.
    """

    def __init__(self, sender: HttpSender) -> None:
        self._sender = sender
        self._failures: dict[str, asyncio.Event] = {}

    async def send(
        self,
        relay: PeerAddress,
        build: Callable[[], HttpMessage],
        timeout_s: float,
        grace_s: float = 0.0,
    ) -> Result[HttpResponse, BackendError]:
        """Return the answer of `relay`; an error also where `note_failure` names it meanwhile.

        :param timeout_s: seconds until the answer's headers have come.
        :param grace_s: seconds that this question still has after such a failure: where packets
            queue on a slow link the other question failed by that, and this answer is on its way.
        """
        failure = self._failures.setdefault(relay.node, asyncio.Event())
        sending = self._sender.send(relay.address, build, timeout_s, TRANSFER_LIMITS)
        asking = asyncio.ensure_future(sending)
        failing = asyncio.ensure_future(failure.wait())
        try:
            await asyncio.wait({asking, failing}, return_when=asyncio.FIRST_COMPLETED)
            if not asking.done() and grace_s > 0:
                await asyncio.wait({asking}, timeout=grace_s)
            return asking.result() if asking.done() else Err(_given_up(relay))
        finally:
            asking.cancel()
            failing.cancel()

    def fail_pending(self, node: str) -> None:
        """End all questions that wait at a relay."""
        failure = self._failures.pop(node, None)
        if failure is not None:
            failure.set()


def _given_up(relay: PeerAddress) -> BackendError:
    return BackendUnreachable(
        f"Relay {relay.node} has left another question unanswered.",
        "Ask another relay, or the store.",
    )
