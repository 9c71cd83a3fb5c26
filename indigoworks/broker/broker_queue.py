"""Queue of a broker for the servers in one zone."""

from collections.abc import Callable
from random import Random

from indigoworks.broker.reported_load import ReportedLoad
from indigoworks.broker.slot_release import SlotRelease
from indigoworks.broker.slot_request import SlotRequest
from indigoworks.broker.unreachable_servers import UnreachableServers
from indigoworks.broker.zone_servers import ZoneServers
from indigoworks.common.attempt_verdict import AttemptVerdict
from indigoworks.common.clock import Clock
from indigoworks.common.coalesced_call import CoalescedCall
from indigoworks.exchange.load_view import LoadView
from indigoworks.exchange.peer_report import node_checksum
from indigoworks.gateway.candidate_load import CandidateLoad
from indigoworks.gateway.capacity_tracker import CapacityTracker
from indigoworks.gateway.dispatch_queue import DispatchQueue
from indigoworks.gateway.owner_lookup import OwnerLookup
from indigoworks.gateway.server_rate_limiter import ServerRateLimiter
from indigoworks.gateway.server_selector import ServerSelector
from indigoworks.gateway.server_stats import ServerStats
from indigoworks.outliers.outlier_detector import OutlierDetector
from indigoworks.ownership.ownership_tables import OwnershipTables
from indigoworks.servers.server_record import ServerRecord
from indigoworks.servers.server_source import ServerSource

EXTRA_REQUESTS_PER_SERVER = 0
"""Requests that a server may have beyond its slots. 0, because a request that waits at the broker
can still go to the first free server, and requests of all gateways are ordered by priority."""


NO_TELLER = 0
"""Checksum of a broker, whose evidence is in no report: gateways report the same outcomes."""


class BrokerQueue:
    """Queued requests, granted slots and measured load for the servers in one zone.

    :param reported: returns a server's requests in flight as reported by all gateways.
    :ivar server_stats: counts the granted slots.
    :ivar outliers: servers that fail, by what gateways tell with their releases.
    :ivar unreachable: servers that gateways cannot connect to.
    """

    def __init__(
        self,
        zone: str,
        servers: ServerSource,
        tables: OwnershipTables,
        peers: LoadView,
        reported: Callable[[str], int],
        rate_limiter: ServerRateLimiter,
        clock: Clock,
        random: Random,
    ) -> None:
        self._servers = servers
        self._rate_limiter = rate_limiter
        self.load = ReportedLoad(reported, peers, self._granted, clock)
        self.server_stats = ServerStats(self.load, clock)
        self.unreachable = UnreachableServers(self.server_stats, clock)
        self._zone_servers = ZoneServers(zone, servers, clock)
        self.outliers = OutlierDetector(NO_TELLER, self._zone_servers, clock, random)
        self._selector = ServerSelector(
            self._zone_servers,
            self.server_stats,
            rate_limiter,
            zone,
            random,
            outliers=self.outliers,
        )
        self._capacity = CapacityTracker(self.server_stats, rate_limiter, _limit)
        owners = OwnerLookup(tables, self._zone_servers, self.server_stats, clock)
        self.queue = DispatchQueue(
            self._selector, owners, self.server_stats, self._capacity, clock, counts_all=True
        )
        self.outliers.on_change = CoalescedCall(self.queue.capacity_changed).schedule

    def may_place_at_once(self, request: SlotRequest) -> bool:
        """Tell whether the request can be placed at once.

        Either a server that it may go to has a free slot and no request is queued for the service,
        or the next scheduled retry is that of its caller.
        """
        if self.queue.admission.is_retry_due(request.service, request.caller_mark):
            return True
        if self.queue.waiting_by_service().get(request.service):
            return False
        usable = self._selector.usable(request.service)
        servers = self._capacity.with_capacity(usable)
        if all(each.server_id in request.tried for each in servers):
            return False
        return not self.queue.admission.reserved_for_s((request.service, None), usable)

    def apply_release(
        self, server: ServerRecord, reporter: str, release: SlotRelease, begun_s: float
    ) -> None:
        """Record the result of a request that held a slot.

        :param reporter: boot id of the gateway that sent the release.
        :param begun_s: clock reading at which the slot was granted.
        """
        if release.server_load is not None:
            self.server_stats.record_server_load(server.server_id, release.server_load)
            self.load.record_server_load(server.server_id, release.server_load)
        verdict = AttemptVerdict.GOOD if release.is_served else release.verdict
        if release.verdict.is_fault:
            verdict = release.verdict
        self.outliers.record(server, verdict, node_checksum(reporter) | 2, begun_s)
        if release.is_unreached:
            self.unreachable.record_failure(server.server_id, reporter)

    def wait_s(self, request: SlotRequest) -> float:
        """Estimate the seconds until a slot is free for one more request."""
        servers = self._selector.usable(request.service)
        if not servers:
            return float("inf")
        ahead = self.queue.waiting_by_service().get(request.service, 0)
        load = CandidateLoad.of(servers, self.server_stats, self._capacity)
        # The retry of a refused request is scheduled after those of all others.
        scheduled_s = (
            0.0
            if load.rate_per_s is None
            else self.queue.admission.schedule_length_s(request.service)
        )
        return max(load.wait_s(ahead), scheduled_s)

    def servers_changed(self) -> None:
        """Retry placing the queued requests after a change of the servers."""
        self._zone_servers.clear_cache()
        self.queue.capacity_changed()

    def refresh(self) -> None:
        """Restore servers whose exclusion has ended, and remove those that are no longer listed."""
        self.load.refresh()
        self.unreachable.restore_excluded()
        self.outliers.drop_old()
        for server_id in self.server_stats.known_servers():
            if self._servers.get(server_id) is None:
                self.server_stats.forget(server_id)
                self.load.remove(server_id)
                self._rate_limiter.forget(server_id)

    def _granted(self, server_id: str) -> int:
        return self.server_stats.own_in_flight_at(server_id)


def _limit(server: ServerRecord) -> int:
    return server.slots + EXTRA_REQUESTS_PER_SERVER
