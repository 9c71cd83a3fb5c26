"""Table of the peers' newest reports."""

from collections.abc import Callable, Iterable

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.exchange.key_sample import KeySample
from indigoworks.exchange.member_list import MemberList
from indigoworks.exchange.peer_report import AgedReport, PeerReport
from indigoworks.exchange.server_load import ServerLoad, server_checksum

LIVE_S = 1.0
"""Age of its newest report up to which a peer counts as live."""

SILENT_RETENTION_S = 600.0
"""Time without a report after which a peer counts as removed."""

MAX_SAMPLES = 2000
"""Largest number of samples kept until they are drained; the oldest are dropped first."""


class PeerTable:
    """Implements `PeerView` from received reports.

    :param own_node: node of this process; empty: no hub ever aggregates its reports.
    :ivar on_heard: called when a peer becomes live.
    """

    def __init__(self, clock: Clock, own_node: str = "") -> None:
        self._clock = clock
        self._own_node = own_node
        self._reports: dict[str, PeerReport] = {}
        self._times_s: dict[str, float] = {}
        self._mean_report_s: float | None = None
        self._counted: dict[str, dict[int, int]] = {}
        self._in_flight: dict[int, int] = {}
        self._times_by_peer: dict[int, dict[str, float]] = {}
        self._samples: list[KeySample] = []
        self._member_samples: list[KeySample] = []
        self._list = MemberList(own_node, clock, LIVE_S)
        self.on_heard: Callable[[], None] = _nothing

    def record_report(self, report: PeerReport, age_s: float = 0.0) -> bool:
        """Record a report; False if it is not newer than the known one of the same boot.

        :param age_s: time since the gateway that forwarded it received it.
        """
        if report.node == self._own_node or age_s > LIVE_S:
            return False
        known = self._reports.get(report.node)
        if known is not None and known.boot == report.boot and known.sequence >= report.sequence:
            return False
        if not self._is_known_live(report.node):
            log_message(message_type="peer:heard", peer=report.node, boot=report.boot)
            self.on_heard()
        self._drop_counts(report.node)
        own_loads = self._list.record_report(report, age_s)
        self._reports[report.node] = report
        self._times_s[report.node] = self._clock.now() - age_s
        self._mean_report_s = None
        self._add_counts(report, own_loads)
        if report.hub and known is not None and not known.hub:
            self._forget_times(report.node)
        self._record_times(report)
        self.add_samples(report.samples)
        if self._is_member(report):
            self._member_samples.extend(report.samples)
            del self._member_samples[:-MAX_SAMPLES]
        return True

    def record_sent(self, sequence: int, loads: tuple[ServerLoad, ...]) -> None:
        """Record a report of this process to its hub, since the hub's aggregate includes it."""
        self._list.record_sent(sequence, loads)

    def add_samples(self, samples: Iterable[KeySample]) -> None:
        """Keep samples until they are drained."""
        self._samples.extend(samples)
        del self._samples[:-MAX_SAMPLES]

    def drop_silent(self) -> None:
        """Remove the reports of peers that are no longer live."""
        for node in [each for each in self._reports if not self._is_live(each)]:
            report = self._reports.pop(node)
            self._mean_report_s = None
            self._drop_counts(node)
            self._forget_times(node)
            if not report.hub or self._is_member(report):
                log_message(
                    message_type="peer:silent", level="WARNING", peer=node, boot=report.boot
                )

    # ---- queries ----

    def live_reports(self) -> Iterable[PeerReport]:
        """Return the newest report of each peer that was heard within LIVE_S."""
        return [report for node, report in self._reports.items() if self._is_live(node)]

    def live_count(self) -> int:
        """Return the number of live peers, including those that a live hub lists."""
        return self._list.count_live(each.node for each in self.live_reports())

    def report_time_s(self, node: str) -> float | None:
        """Return when the newest report of `node` arrived; None: none has."""
        return self._times_s.get(node)

    def heard_time_s(self, node: str) -> float | None:
        """Return when `node` was last heard, here or by a live hub; None: never."""
        times_s = (self._times_s.get(node), self._list.listed_time_s(node))
        return max((each for each in times_s if each is not None), default=None)

    def covered_time_s(self, hub: str) -> float | None:
        """Return when the newest own report was sent that `hub` has included; None: none."""
        return self._list.covered_time_s(hub)

    def is_aggregated(self, node: str) -> bool:
        """Return whether another hub sends its aggregate to `node`."""
        report = self._reports.get(node)
        reports_itself = report is not None and not report.hub and self._is_live(node)
        return not reports_itself and self._list.is_listed(node)

    def has_members(self) -> bool:
        """Return whether this process is the hub of any peer."""
        return any(map(self._is_member, self._reports.values()))

    def members(self) -> list[AgedReport]:
        """Return the newest reports of the live peers whose hub is this process."""
        return [each for each in self._aged_reports() if self._is_member(each.report)]

    def hub_reports(self) -> list[AgedReport]:
        """Return the newest reports of the live peers that are hubs."""
        return [each for each in self._aged_reports() if each.report.members]

    def in_flight(self, server_id: str) -> int:
        """Return the requests in flight to a server from all live peers."""
        return self._in_flight.get(server_checksum(server_id), 0)

    def load_age_s(self) -> float:
        """Return the mean age of the reports that `in_flight` counts; 0 if there is none."""
        if not self._reports:
            return 0.0
        if self._mean_report_s is None:
            times_s = [self._times_s[node] for node in self._reports]
            self._mean_report_s = sum(times_s) / len(times_s)
        return max(0.0, self._clock.now() - self._mean_report_s)

    def service_s(self, server_id: str) -> float | None:
        """Return the service time of a request at a server as peers measured it; None: unknown."""
        known = self._times_by_peer.get(server_checksum(server_id))
        return sum(known.values()) / len(known) if known else None

    def has_silent_peer(self) -> bool:
        """Return whether a peer that was heard recently is not live now, here or at a hub."""
        now_s = self._clock.now()
        ages_s = (now_s - (self.heard_time_s(node) or now_s) for node in self._times_s)
        return any(LIVE_S < age_s < SILENT_RETENTION_S for age_s in ages_s)

    def drain_samples(self) -> list[KeySample]:
        """Return and remove the samples that arrived since the last call."""
        samples = self._samples
        self._samples = []
        return samples

    def drain_member_samples(self) -> list[KeySample]:
        """Return and remove the samples of the peers whose hub is this process."""
        samples = self._member_samples
        self._member_samples = []
        return samples

    # ---- parts ----

    def _aged_reports(self) -> Iterable[AgedReport]:
        now_s = self._clock.now()
        return [AgedReport(each, now_s - self._times_s[each.node]) for each in self.live_reports()]

    def _is_member(self, report: PeerReport) -> bool:
        return bool(report.hub) and report.hub == self._own_node

    def _is_live(self, node: str) -> bool:
        return self._clock.now() - self._times_s[node] <= LIVE_S

    def _is_known_live(self, node: str) -> bool:
        heard_s = self.heard_time_s(node)
        return heard_s is not None and self._clock.now() - heard_s <= LIVE_S

    def _record_times(self, report: PeerReport) -> None:
        for load in report.loads:
            if load.service_s > 0:
                self._times_by_peer.setdefault(load.server, {})[report.node] = load.service_s

    def _forget_times(self, node: str) -> None:
        for known in self._times_by_peer.values():
            known.pop(node, None)

    def _add_counts(self, report: PeerReport, own_loads: tuple[ServerLoad, ...]) -> None:
        """Add the loads of a report; of a hub's report without those of this process."""
        counts = {load.server: load.in_flight for load in report.loads}
        for load in own_loads:
            counts[load.server] = max(0, counts.get(load.server, 0) - load.in_flight)
        self._counted[report.node] = counts
        for server, count in counts.items():
            self._in_flight[server] = self._in_flight.get(server, 0) + count

    def _drop_counts(self, node: str) -> None:
        for server, count in self._counted.pop(node, {}).items():
            left = self._in_flight.get(server, 0) - count
            if left > 0:
                self._in_flight[server] = left
            else:
                self._in_flight.pop(server, None)


def _nothing() -> None:
    """Do nothing: the default listener."""
