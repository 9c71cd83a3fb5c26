"""JSON forms of the probe answers of a stand-in back end."""

from pydantic import BaseModel


class HealthModel(BaseModel):
    """Answer of GET /health."""

    is_healthy: bool


class LoadModel(BaseModel):
    """Answer of GET /load."""

    busy_slots: int
    queue_length: int
