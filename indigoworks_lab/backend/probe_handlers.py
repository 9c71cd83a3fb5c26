"""Probe handlers of a stand-in back end."""

from indigoworks_lab.backend.json_handler import JsonHandler
from indigoworks_lab.backend.probe_models import HealthModel, LoadModel


class HealthHandler(JsonHandler):
    """GET /health."""

    async def get(self) -> None:
        """Answer 200 where the server calls itself healthy, otherwise 503."""
        report = await self.stand_in.probe()
        status = 200 if report.is_healthy else 503
        self.answer(HealthModel(is_healthy=report.is_healthy), status)


class LoadHandler(JsonHandler):
    """GET /load."""

    async def get(self) -> None:
        """Answer the load as the server tells it."""
        report = await self.stand_in.probe()
        self.answer(LoadModel(busy_slots=report.busy_slots, queue_length=report.queue_length))
