"""Builds the reports to peers, and applies the reports received from them."""

from collections.abc import Callable

from indigoworks.exchange.peer_report import PeerReport
from indigoworks.exchange.peer_table import PeerTable
from indigoworks.exchange.report_sender import ReportSource
from indigoworks.gateway.control_subsystem import ControlSubsystem
from indigoworks.gateway.platform_subsystem import PlatformSubsystem
from indigoworks.gateway.request_subsystem import RequestSubsystem


class GatewayReports:
    """Builds the reports of this process, and passes received ones to the parts concerned."""

    def __init__(
        self,
        node: str,
        boot: str,
        platform: PlatformSubsystem,
        requests: RequestSubsystem,
        control: ControlSubsystem,
        peers: PeerTable,
    ) -> None:
        self._node = node
        self._boot = boot
        self._platform = platform
        self._requests = requests
        self._control = control
        self._peers = peers
        self._sequence = 0
        self._reported_loads: object = ()

    def source(self, leader_node: Callable[[], str]) -> ReportSource:
        """Return the callbacks of the exchange.

        :param leader_node: returns the node that leads the control group.
        """
        return ReportSource(self._make, self._has_news, self._take, leader_node)

    def _has_news(self) -> bool:
        is_changed = self._requests.server_stats.loads() != self._reported_loads
        has_notes = self._requests.quarantine.has_unreported() or self._requests.notices.has_any()
        has_notes = has_notes or bool(self._requests.outliers.shared())
        return is_changed or has_notes or self._requests.sampler.has_samples()

    def _make(self) -> PeerReport:
        self._sequence += 1
        loads = self._requests.server_stats.loads()
        self._reported_loads = loads
        samples = self._requests.sampler.drain()
        self._peers.add_samples(samples)
        row = self._control.leadership.row
        return PeerReport(
            node=self._node,
            boot=self._boot,
            sequence=self._sequence,
            epoch=row.epoch,
            beat_age_s=self._control.leadership.liveness.beat_age_s(row.epoch),
            leader=self._control.beat(),
            loads=loads,
            samples=samples,
            # Retries are not counted here; no receiver uses the field.
            retry_count=0,
            configuration_version=self._control.configuration_version(),
            group_version=self._control.group_version,
            operator_row_version=self._platform.operator_row_version,
            suspects=self._requests.quarantine.next_report(),
            notices=self._requests.notices.next_notes(),
            evidence=self._requests.outliers.shared(),
        )

    def _take(self, report: PeerReport) -> None:
        self._requests.quarantine.merge_suspects(report.suspects)
        self._requests.notices.apply(report.notices)
        self._requests.outliers.apply(report)
        self._control.apply_report(report)
