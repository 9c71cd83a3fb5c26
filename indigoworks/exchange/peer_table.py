"""Newest reports of the peers."""

from collections.abc import Iterable

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.exchange.key_sample import KeySample
from indigoworks.exchange.peer_report import PeerReport
from indigoworks.exchange.server_load import server_checksum

LIVE_S = 1.0
"""A peer counts as live while its newest report is younger."""

MAX_SAMPLES = 2000
"""Samples that wait to be taken; older ones are dropped first."""


class PeerTable:
    """Implements `PeerView` from the datagrams that arrived."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._reports: dict[str, PeerReport] = {}
        self._times_s: dict[str, float] = {}
        self._in_flight: dict[int, int] = {}
        self._times_by_peer: dict[int, dict[str, float]] = {}
        self._samples: list[KeySample] = []

    def note(self, report: PeerReport) -> bool:
        """Take a report; False where a newer one of the same boot is known."""
        known = self._reports.get(report.node)
        if known is not None:
            if known.boot == report.boot and known.sequence >= report.sequence:
                return False
            self._add_loads(known, -1)
        if known is None or not self._is_live(report.node):
            log_message(message_type="peer:heard", peer=report.node, boot=report.boot)
        self._reports[report.node] = report
        self._times_s[report.node] = self._clock.now()
        self._add_loads(report, +1)
        self._note_times(report)
        self.add_samples(report.samples)
        return True

    def add_samples(self, samples: Iterable[KeySample]) -> None:
        """Keep samples until they are taken."""
        self._samples.extend(samples)
        del self._samples[:-MAX_SAMPLES]

    def drop_silent(self) -> None:
        """Forget the reports of peers that are no longer heard."""
        for node in [each for each in self._reports if not self._is_live(each)]:
            report = self._reports.pop(node)
            self._add_loads(report, -1)
            log_message(message_type="peer:silent", level="WARNING", peer=node, boot=report.boot)

    def live_reports(self) -> Iterable[PeerReport]:
        """Return the newest report of each peer that was heard within LIVE_S."""
        return [report for node, report in self._reports.items() if self._is_live(node)]

    def report_time_s(self, node: str) -> float | None:
        """Return when the newest report of `node` arrived; None: none has."""
        return self._times_s.get(node)

    def in_flight(self, server_id: str) -> int:
        """Return the requests in flight to a server from all live peers."""
        return self._in_flight.get(server_checksum(server_id), 0)

    def service_s(self, server_id: str) -> float | None:
        """Return the seconds that a request takes at a server as peers measured it; None: none."""
        known = self._times_by_peer.get(server_checksum(server_id))
        return sum(known.values()) / len(known) if known else None

    def drain_samples(self) -> list[KeySample]:
        """Take the samples that arrived since the last call."""
        samples = self._samples
        self._samples = []
        return samples

    def _is_live(self, node: str) -> bool:
        return self._clock.now() - self._times_s[node] <= LIVE_S

    def _note_times(self, report: PeerReport) -> None:
        for load in report.loads:
            if load.service_s > 0:
                self._times_by_peer.setdefault(load.server, {})[report.node] = load.service_s

    def _add_loads(self, report: PeerReport, sign: int) -> None:
        for load in report.loads:
            count = self._in_flight.get(load.server, 0) + sign * load.in_flight
            if count > 0:
                self._in_flight[load.server] = count
            else:
                self._in_flight.pop(load.server, None)
