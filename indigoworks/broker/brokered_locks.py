"""Locks of suspect requests that a gateway requests from brokers."""

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
"""Maximum number of brokers among which suspect requests are distributed."""

ANY_ZONE = ""
"""Zone of requests for locks: a suspect request may go to servers of any zone."""

NO_BROKER_RETRY_S = 0.5
"""Retry-After if no broker has granted the lock: a lost broker is excluded within this time."""


@dataclass(frozen=True, slots=True)
class BrokeredLock:
    """Implements `AttemptLock`."""

    client: BrokerClient
    broker: PeerAddress
    number: int

    def release(self, is_served: bool, has_crashed_server: Callable[[], bool]) -> None:
        """Release the lock and report the result of the attempt."""
        release = SlotRelease(self.number, is_served, has_crashed_server=has_crashed_server())
        # If the release is lost, other attempts wait for the end of the lease.
        self.client.release_repeatedly(self.broker, release)


class BrokeredLocks:
    """Implements `AttemptLocks`: gateways with the same peers use the same broker for a request."""

    def __init__(self, selector: BrokerSelector, client: BrokerClient, clock: Clock) -> None:
        self._selector = selector
        self._client = client
        self._clock = clock

    async def acquire(
        self, mark: int, limit_s: float, lease_s: float
    ) -> BrokeredLock | Refusal | None:
        """Return the lock of a request, why it is refused, or None if there is no broker.

        `limit_s` is a clock reading, `lease_s` a duration; see AttemptLocks.

        A broker that does not answer is asked again until it is excluded and another one is
        selected: without this a lost reply would let an attempt crash a server without the lock.
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
        """Return the lock or refusal of a broker; None if it does not answer or is stopping."""
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
