"""Samples the committed assignments at the authoritative leader."""

import asyncio

from indigoworks_lab.checkers.history.assignment_sample import AssignmentSample, CommittedRange
from indigoworks_lab.checkers.history.leader_overlap import LeaderOverlap
from indigoworks_lab.simulation.controller_host import ControllerHost
from indigoworks_lab.simulation.deployment import Deployment

SAMPLE_INTERVAL_S = 0.02


class AssignmentSampler:
    """Reads, at short intervals, what each leader under a leader lease has committed."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._recorder = deployment.simulation.recorder
        self._sampled: dict[int, int] = {}

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            leading = [host for host in self._deployment.controllers.values() if host.is_leading]
            if len(leading) > 1:
                self._record_overlap(leading)
            for host in leading:
                if self._has_news(host):
                    self._sample(host)

    def _record_overlap(self, leading: list[ControllerHost]) -> None:
        overlap = LeaderOverlap(self._recorder.now_s(), tuple(_describe(host) for host in leading))
        self._recorder.history.leader_overlaps.append(overlap)

    def _has_news(self, host: ControllerHost) -> bool:
        version = host.control_state.version
        if self._sampled.get(host.process.number) == version:
            return False
        if host.process.is_frozen:
            return False
        self._sampled[host.process.number] = version
        return True

    def _sample(self, host: ControllerHost) -> None:
        node = host.controller.node
        generation = node.status.generation
        ranges = tuple(
            CommittedRange(
                record.service,
                record.start,
                record.end,
                record.owner,
                record.owner_incarnation,
                record.token,
            )
            for record in host.control_state.ranges()
            if record.generation == generation
        )
        history = self._recorder.history.assignments
        if history and history[-1].ranges == ranges and history[-1].generation == generation:
            return
        sample = AssignmentSample(self._recorder.now_s(), host.process.name, generation, ranges)
        history.append(sample)


def _describe(host: ControllerHost) -> str:
    status = host.controller.node.status
    return f"{host.settings.name} (generation {status.generation}, term {status.term})"
