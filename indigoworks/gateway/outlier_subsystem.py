"""The parts of a gateway that judge attempts, and eject servers that fail."""

from dataclasses import replace
from random import Random

from indigoworks.common.clock import Clock
from indigoworks.exchange.peer_report import PeerReport, node_checksum
from indigoworks.exchange.peer_table import PeerTable
from indigoworks.exchange.shared_evidence import SharedEvidence
from indigoworks.gateway.attempt_judge import AttemptJudge, caller_checksum
from indigoworks.gateway.request_state import RequestState
from indigoworks.gateway.server_response import ServerResponse
from indigoworks.gateway.server_stats import RequestStart, ServerStats
from indigoworks.outliers.outlier_detector import OutlierDetector
from indigoworks.reach.path_monitor import PathMonitor
from indigoworks.servers.server_list import ServerList
from indigoworks.servers.server_record import ServerRecord


class OutlierSubsystem:
    """Passes outcomes to the detector, and its evidence to reports and back.

    :ivar detector: knows which servers are ejected.
    """

    def __init__(
        self,
        node: str,
        servers: ServerList,
        server_stats: ServerStats,
        path: PathMonitor,
        peers: PeerTable,
        clock: Clock,
        random: Random,
    ) -> None:
        self._servers = servers
        self._judge = AttemptJudge(server_stats, servers, path, clock)
        self.detector = OutlierDetector(
            node_checksum(node), servers, clock, random, lambda: peers.live_count() + 1
        )
        self._judge.is_on_probation = self.detector.is_on_probation

    def record(
        self,
        state: RequestState,
        server: ServerRecord,
        response: ServerResponse,
        started: RequestStart,
    ) -> ServerResponse:
        """Record what an attempt says about its server; return the response with a fault."""
        verdict = self._judge.judge(state, server, response, started)
        caller = caller_checksum(state.request.caller)
        self.detector.record(server, verdict, caller, started.at_s)
        return replace(response, verdict=verdict) if verdict.is_fault else response

    def shared(self) -> tuple[SharedEvidence, ...]:
        """Return the evidence of the next report; empty while no server has faults."""
        return self.detector.shared()

    def apply(self, report: PeerReport) -> None:
        """Apply the evidence in the report of a peer."""
        if report.evidence:
            self.detector.apply_shared(report.evidence, self._servers.listed())

    def forget(self, server_id: str) -> None:
        """Drop the state of a server that left."""
        self._judge.forget(server_id)
