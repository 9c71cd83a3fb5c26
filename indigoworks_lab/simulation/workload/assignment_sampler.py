"""Samples the committed assignments at the authoritative leader."""

import asyncio

from indigoworks_lab.checkers.history.assignment_sample import AssignmentSample, CommittedRange
from indigoworks_lab.simulation.controller_host import ControllerHost
from indigoworks_lab.simulation.deployment import Deployment

SAMPLE_INTERVAL_S = 0.1


class AssignmentSampler:
    """Reads, at short intervals, what each leader under a quorum lease has committed."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._recorder = deployment.simulation.recorder

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            for host in self._deployment.controllers.values():
                if host.is_leading and not host.process.is_frozen:
                    self._sample(host)

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
