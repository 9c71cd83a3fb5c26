"""Collects the execution histories of the back ends of a run."""

import asyncio
from collections.abc import Sequence

from indigoworks_lab.backend.execution_outcome import ExecutionOutcome
from indigoworks_lab.backend.history_model import HistoryModel, RecordModel
from indigoworks_lab.checkers.history.execution import Execution
from indigoworks_lab.client.json_client import JsonClient
from indigoworks_lab.launcher.server_plan import ServerPlan

COLLECT_INTERVAL_S = 0.1
"""A killed server takes its newest records with it; a short interval keeps these few."""


class ExecutionCollector:
    """Reads each server's history again and again, so that little is lost with a killed one.

    Times are readings of the machine's monotonic clock, which all processes of a run share.
    """

    def __init__(self, servers: Sequence[ServerPlan], client: JsonClient) -> None:
        self._servers = servers
        self._client = client
        self._positions: dict[str, int] = {}
        self._runs: dict[str, int] = {}
        self.executions: list[Execution] = []

    async def run(self) -> None:
        """Collect until cancelled. A server that does not answer holds up no other."""
        await asyncio.gather(*(self._follow(server) for server in self._servers))

    async def collect(self) -> None:
        """Read what is new at every server that answers."""
        await asyncio.gather(*(self._read(server) for server in self._servers))

    async def _follow(self, server: ServerPlan) -> None:
        while True:
            await self._read(server)
            await asyncio.sleep(COLLECT_INTERVAL_S)

    async def _read(self, server: ServerPlan) -> None:
        position = self._positions.get(server.name, 0)
        answer = await self._client.get(server.http, f"/lab/history?after={position}")
        if answer.status != 200 or self._positions.get(server.name, 0) != position:
            return
        history = HistoryModel.model_validate(answer.body)
        self._positions[server.name] = history.next
        for record in history.records:
            if record.outcome is ExecutionOutcome.APPLIED:
                self.executions.append(self._execution(record))

    def _execution(self, model: RecordModel) -> Execution:
        record = model.to_record()
        return Execution(
            request_id=record.request_id,
            service=record.service,
            key=record.key,
            server=record.server,
            server_run=self._runs.setdefault(record.incarnation, len(self._runs)),
            token=record.token,
            started_s=record.started_s,
            effect_s=record.ended_s,
        )
