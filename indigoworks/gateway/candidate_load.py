"""Combined load of the servers that a request may go to."""

from collections.abc import Sequence
from dataclasses import dataclass

from indigoworks.gateway.capacity_tracker import CapacityTracker
from indigoworks.gateway.server_stats import ServerStats
from indigoworks.servers.server_record import ServerRecord


@dataclass(frozen=True, slots=True)
class CandidateLoad:
    """Slots, requests in flight and service times of a set of servers.

    :ivar slots: slots of the servers; a rate-limited one counts only those that its rate can use,
        unless all are rate-limited.
    :ivar in_flight: requests of all gateways, estimated from the age of the reports.
    :ivar mean_service_time_s: seconds per request, mean over the servers.
    :ivar min_service_time_s: seconds per request at the fastest server.
    :ivar rate_per_s: sum of the rate limits; None if a server has no rate limit.
    :ivar permit_in_s: time until the next permit, where all servers are rate-limited.
    """

    slots: float
    in_flight: float
    mean_service_time_s: float
    min_service_time_s: float
    rate_per_s: float | None = None
    permit_in_s: float = 0.0

    @classmethod
    def of(
        cls, servers: Sequence[ServerRecord], server_stats: ServerStats, capacity: CapacityTracker
    ) -> "CandidateLoad":
        """Return the load of `servers`, which must not be empty."""
        times_s = [server_stats.service_time_s(each) for each in servers]
        rate_per_s = capacity.total_rate_per_s(servers)
        is_mixed = rate_per_s is None
        age_s = server_stats.report_age_s()
        return cls(
            sum(map(capacity.effective_slots, servers, times_s))
            if is_mixed
            else sum(each.slots for each in servers),
            sum(server_stats.expected_in_flight(each, age_s) for each in servers),
            sum(times_s) / len(times_s),
            min(times_s),
            rate_per_s,
            0.0 if is_mixed else capacity.permit_in_s(servers),
        )

    def wait_s(self, ahead: int) -> float:
        """Return the expected wait of a request with `ahead` others queued before it."""
        by_slots_s = (
            max(0, self.in_flight - self.slots + ahead + 1) / self.slots * self.mean_service_time_s
        )
        if self.rate_per_s is None:
            return by_slots_s
        return max(by_slots_s, self.permit_in_s + ahead / self.rate_per_s)
