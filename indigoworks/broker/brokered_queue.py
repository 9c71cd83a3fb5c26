"""Places requests through brokers, or in this gateway's own queue if there are none."""

from collections.abc import Sequence
from dataclasses import dataclass

import xxhash
from eliot import log_message

from indigoworks.broker.broker_client import BrokerClient
from indigoworks.broker.broker_selector import BrokerSelector
from indigoworks.broker.full_zone import FullZone
from indigoworks.broker.slot_release import SlotRelease
from indigoworks.broker.slot_reply import SlotOutcome, SlotReply
from indigoworks.broker.slot_request import SlotRequest
from indigoworks.common.clock import Clock
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.exchange.peer_directory import PeerDirectory
from indigoworks.gateway.connected_servers import ConnectedServers, no_connected_servers
from indigoworks.gateway.dispatch_queue import DispatchQueue
from indigoworks.gateway.gateway_queues import GatewayQueues
from indigoworks.gateway.owner_lookup import OwnerLookup, OwnerState
from indigoworks.gateway.placer import Placement
from indigoworks.gateway.refusal import Refusal, RefusalReason
from indigoworks.gateway.server_rate_limiter import ServerRateLimiter
from indigoworks.gateway.server_response import ExchangeResult, ServerResponse
from indigoworks.gateway.server_stats import RequestStart
from indigoworks.gateway.waiting_request import WaitingRequest
from indigoworks.reach.path_monitor import PathMonitor
from indigoworks.servers.server_record import ServerRecord
from indigoworks.servers.server_source import ServerSource

FULL_ZONE_PAUSE_S = 0.05
"""Time for which a broker that had no free slot is only sent requests that may wait."""

TRIALS_WANTED_S = 2.0
"""Time for which slot requests state whether they are repeatable, after a broker asked for that."""

OTHER_ZONE_PENALTY_S = 0.03
"""A request waits in another zone only if a slot is expected to be free this much earlier: traffic
between zones costs, and a broker's estimate is up to FULL_ZONE_PAUSE_S old."""


@dataclass(frozen=True, slots=True)
class _Grant:
    broker: PeerAddress
    number: int


class BrokeredQueue:
    """Implements `Placer`.

    A request without a key goes to a server of the local zone; if none has a free slot, to one of
    another zone; and otherwise waits in the zone where a slot is expected to be free first. If no
    broker answers, and in a small group, this gateway places requests from its own data.

    It also does so for requests with a key: only one server can answer them, so that a broker has
    no choice to make and would only cost processor time, up to 0.7 of a core.

    Requests to servers with a rate limit go through a broker in any group and with any key: only
    one that counts all requests to a server can keep to its limit.

    :param zone: zone of this process.
    :param local: places requests from this gateway's own data.
    :param directory: the group.
    :param rate_limiter: knows which servers have a rate limit.
    """

    def __init__(
        self,
        zone: str,
        local: DispatchQueue | GatewayQueues,
        selector: BrokerSelector,
        client: BrokerClient,
        servers: ServerSource,
        owners: OwnerLookup,
        directory: PeerDirectory,
        rate_limiter: ServerRateLimiter,
        path: PathMonitor,
        clock: Clock,
        connected: ConnectedServers = no_connected_servers,
    ) -> None:
        self._zone = zone
        self._local = local
        self._selector = selector
        self._client = client
        self._servers = servers
        self._owners = owners
        self._directory = directory
        self._rate_limiter = rate_limiter
        self._path = path
        self._clock = clock
        self._connected = connected
        self._grants: dict[WaitingRequest, _Grant] = {}
        self._full_zones: dict[tuple[str, str], FullZone] = {}
        self._trials_until_s: dict[str, float] = {}

    # ---- Placer ----

    async def place(self, entry: WaitingRequest) -> Placement:
        """Return a server with a free slot, or why there is none."""
        zones = self._zones(entry)
        if zones:
            return await self._place_in(entry, zones)
        placement = await self._local.place(entry)
        if not _is_for_broker(placement):
            return placement
        # Its server got a rate limit while the request was queued here.
        entry.reset_placement()
        return await self._place_in(entry, self._zones(entry))

    def release(
        self, entry: WaitingRequest, started: RequestStart, answer: ServerResponse | None
    ) -> None:
        """Release the slot of a request."""
        grant = self._grants.pop(entry, None)
        if grant is None:
            self._local.release(entry, started)
            return
        # A broker excludes servers for all gateways if two report them as out of reach.
        release = _release_of(grant, answer, self._path.is_doubtful)
        self._client.release(grant.broker, release)

    # ---- brokers ----

    async def _place_in(self, entry: WaitingRequest, zones: Sequence[str]) -> Placement:
        """Place a request through the brokers of these zones, or else in the local queue."""
        placement: Placement | None = None
        if len(zones) > 1:
            placement = await self._find_free_slot(entry, zones)
        if placement is None and zones:
            zone = min(zones, key=lambda each: self._wait_s(entry.service, each))
            placement = await self._ask_in(entry, zone, may_wait=True)
        return await self._local.place(entry) if placement is None else placement

    def _zones(self, entry: WaitingRequest) -> Sequence[str]:
        """Return the zones whose brokers may place a request, the preferred one first."""
        if entry.key is not None:
            return self._zone_of_owner(entry.service, entry.key)
        if not self._directory.has_many() and not self._rate_limiter.has_rate_limits():
            return ()
        usable = self._servers.usable(entry.service)
        if not self._directory.has_many() and not self._rate_limiter.any_paced_elsewhere(usable):
            return ()
        zones = {each.zone for each in usable if not self._servers.rest_left_s(each.server_id)}
        others = sorted(zones - {self._zone})
        return (self._zone, *others) if self._zone in zones else tuple(others)

    def _zone_of_owner(self, service: str, key: int) -> Sequence[str]:
        """Return the zone of the key's owner if that has a rate limit, else nothing."""
        if not self._rate_limiter.has_rate_limits():
            return ()
        owner = self._owners.find(service, key)
        server = owner.server
        if owner.state is not OwnerState.READY or server is None:
            return ()
        return (server.zone,) if self._rate_limiter.is_paced_elsewhere(server) else ()

    async def _find_free_slot(
        self, entry: WaitingRequest, zones: Sequence[str]
    ) -> Placement | None:
        """Return a server with a free slot in any of the zones, or None."""
        # A full zone may have scheduled a retry of this caller: then no zone is skipped.
        has_scheduled_retries = self._rate_limiter.any_paced_elsewhere(
            self._servers.usable(entry.service)
        )
        for zone in zones:
            if not has_scheduled_retries and self._is_full(entry.service, zone):
                continue
            placement = await self._ask_in(entry, zone, may_wait=False)
            if placement is not None:
                return placement
        return None

    def _is_full(self, service: str, zone: str) -> bool:
        full = self._full_zones.get((service, zone))
        return full is not None and self._clock.now() < full.until_s

    def _wait_s(self, service: str, zone: str) -> float:
        """Return how long a request is expected to wait in a zone, from its broker's last reply."""
        full = self._full_zones.get((service, zone))
        wait_s = 0.0 if full is None else full.wait_s
        return wait_s if zone == self._zone else wait_s + OTHER_ZONE_PENALTY_S

    async def _ask_in(self, entry: WaitingRequest, zone: str, may_wait: bool) -> Placement | None:
        """Request a slot from the broker of a zone; None: no slot there, or no broker answers."""
        broker = self._selector.broker(entry.service, zone)
        request = self._request(entry, zone, may_wait)
        if broker is None or request is None:
            return None
        self._record_reply(broker, entry, reply := await self._client.ask(broker, request))
        if reply is None:
            return None
        if reply.wants_trials:
            self._trials_until_s[zone] = self._clock.now() + TRIALS_WANTED_S
        if reply.outcome is SlotOutcome.REFUSED:
            return reply.refusal
        if reply.outcome is SlotOutcome.FULL:
            until_s = self._clock.now() + FULL_ZONE_PAUSE_S
            self._full_zones[entry.service, zone] = FullZone(until_s, reply.wait_s)
        if reply.outcome is SlotOutcome.GRANTED:
            return self._accept_slot(entry, _Grant(broker, request.number), reply.server_id)
        return None

    def _request(self, entry: WaitingRequest, zone: str, may_wait: bool) -> SlotRequest | None:
        """Return the request for a slot, or None if the time for it has passed."""
        now_s = self._clock.now()
        if now_s >= entry.limit_s:
            return None
        return SlotRequest(
            number=self._client.next_number(),
            service=entry.service,
            zone=zone,
            group=entry.group,
            weight=entry.weight,
            priority=entry.priority,
            limit_s=entry.limit_s - now_s,
            lease_s=entry.deadline_s - now_s,
            may_wait=may_wait,
            tried=(*entry.tried, *self._resting_servers(entry)),
            key=entry.key,
            caller_mark=self._caller_mark(entry),
            connected=self._connected(entry.service, zone) if entry.key is None else (),
            is_repeatable=entry.is_repeatable and now_s < self._trials_until_s.get(zone, 0.0),
        )

    def _caller_mark(self, entry: WaitingRequest) -> int:
        """Return a hash that identifies retries of the same request; 0 if none are scheduled."""
        content = entry.content
        if content is None or not self._rate_limiter.has_rate_limits():
            return 0
        parts = (content.caller, content.method, content.host, content.target)
        return xxhash.xxh64_intdigest("\0".join(parts).encode("utf-8", "surrogateescape"))

    def _resting_servers(self, entry: WaitingRequest) -> Sequence[str]:
        """Return the servers that asked this gateway for rest; the broker may not know it."""
        if not self._servers.has_resting():
            return ()
        usable = self._servers.usable(entry.service)
        return [each.server_id for each in usable if self._servers.rest_left_s(each.server_id)]

    def _accept_slot(
        self, entry: WaitingRequest, grant: _Grant, server_id: str
    ) -> Placement | None:
        """Accept a slot, unless this gateway knows that its server must get no new requests."""
        server = self._servers.get(server_id)
        if server is None or not self._may_accept(entry, server):
            self._client.release(grant.broker, SlotRelease(grant.number))
            return None
        self._grants[entry] = grant
        return server

    def _may_accept(self, entry: WaitingRequest, server: ServerRecord) -> bool:
        if self._servers.rest_left_s(server.server_id) > 0:
            return False
        if entry.key is None:
            return self._servers.is_usable(server.server_id)
        owner = self._owners.find(entry.service, entry.key)
        return owner.state is OwnerState.READY and owner.server == server

    def _record_reply(
        self, broker: PeerAddress, entry: WaitingRequest, reply: SlotReply | None
    ) -> None:
        if reply is None:
            is_left = self._selector.record_unanswered(broker.node)
        elif reply.outcome is SlotOutcome.DECLINED:
            self._selector.exclude(broker.node)
            is_left = True
        else:
            self._selector.record_reply(broker.node)
            return
        log_message(
            message_type="broker:failed",
            level="WARNING",
            broker=broker.node,
            service=entry.service,
            reason="silent" if reply is None else reply.outcome.value,
            is_left=is_left,
        )


def _is_for_broker(placement: Placement) -> bool:
    return isinstance(placement, Refusal) and placement.reason is RefusalReason.SERVER_LIMITED


def _release_of(
    grant: _Grant, answer: ServerResponse | None, is_path_doubtful: bool
) -> SlotRelease:
    if answer is None:
        return SlotRelease(grant.number)
    is_served = answer.result is ExchangeResult.ANSWERED and not answer.is_not_run
    is_unreached = answer.result is ExchangeResult.NOT_SENT and not is_path_doubtful
    return SlotRelease(
        grant.number, is_served, answer.server_load, is_unreached, False, answer.verdict
    )
