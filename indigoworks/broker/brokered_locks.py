"""Locks of suspect requests, as a gateway asks brokers for them."""

from collections.abc import Callable
from dataclasses import dataclass

from indigoworks.broker.broker_client import BrokerClient
from indigoworks.broker.broker_selector import BrokerSelector
from indigoworks.broker.slot_release import SlotRelease
from indigoworks.broker.slot_reply import SlotOutcome
from indigoworks.broker.slot_request import SlotRequest
from indigoworks.common.clock import Clock
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.gateway.refusal import Refusal, RefusalReason

MAX_BROKERS = 16
"""Suspect requests are shared out among so many brokers at most."""

ANY_ZONE = ""
"""A suspect request may go to servers of any zone."""

NO_BROKER_RETRY_S = 0.5
"""Time after which a caller comes back where nobody has given the lock out: a broker that is lost
is left within so long."""


@dataclass(frozen=True, slots=True)
class BrokeredLock:
    """Implements `AttemptLock`."""

    client: BrokerClient
    broker: PeerAddress
    number: int

    def release(self, is_served: bool, has_ended_server: Callable[[], bool]) -> None:
        """Give the right back, and tell what came of the try."""
        release = SlotRelease(self.number, is_served, has_ended_server=has_ended_server())
        # Where it is lost the other tries would wait for the end of the lease.
        self.client.release_repeatedly(self.broker, release)


class BrokeredLocks:
    """Implements `AttemptLocks`: the same broker for all gateways that hear the same ones."""

    def __init__(self, selector: BrokerSelector, client: BrokerClient, clock: Clock) -> None:
        self._selector = selector
        self._client = client
        self._clock = clock

    async def acquire(
        self, mark: int, limit_s: float, lease_s: float
    ) -> BrokeredLock | Refusal | None:
        """Return the lock of a request, why it is not to be had, or None: this process knows no
        member of the group, itself included.

        Where a broker does not answer it is asked again, or the next one. A try that went without
        the lock would end a server whenever a reply is lost.
        """
        while True:
            broker = self._selector.broker(f"suspects-{mark % MAX_BROKERS}", ANY_ZONE)
            if broker is None:
                return None
            found = await self._ask(broker, mark, limit_s, lease_s)
            if found is not None:
                return found
            if self._clock.now() >= limit_s:
                return Refusal(
                    RefusalReason.SUSPECT, NO_BROKER_RETRY_S, expected_s=NO_BROKER_RETRY_S
                )

    async def _ask(
        self, broker: PeerAddress, mark: int, limit_s: float, lease_s: float
    ) -> BrokeredLock | Refusal | None:
        """Return what a broker replies; None: it does not answer, or is about to end."""
        request = self._request(mark, limit_s, lease_s)
        reply = await self._client.ask(broker, request)
        if reply is None:
            self._selector.record_unanswered(broker.node)
            return None
        self._selector.record_reply(broker.node)
        if reply.outcome is SlotOutcome.REFUSED:
            return reply.refusal
        if reply.outcome is SlotOutcome.GRANTED:
            return BrokeredLock(self._client, broker, request.number)
        self._selector.exclude(broker.node)
        return None

    def _request(self, mark: int, limit_s: float, lease_s: float) -> SlotRequest:
        return SlotRequest(
            number=self._client.next_number(),
            service="",
            zone=ANY_ZONE,
            group="",
            weight=1.0,
            priority=0,
            limit_s=max(0.0, limit_s - self._clock.now()),
            lease_s=lease_s,
            may_wait=True,
            suspect_mark=mark,
        )
