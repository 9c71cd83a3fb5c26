"""Figures of one path in one round."""

from pydantic import BaseModel, ConfigDict

from indigoworks_lab.load.load_report import LoadReport


class PathRound(BaseModel):
    """Reports of both loads, and processor time of each process in the open loop.

    :ivar cpu_us_per_request: microseconds of processor time per offered request, by process.
    """

    model_config = ConfigDict(frozen=True)

    open_loop: LoadReport
    closed_loop: LoadReport
    cpu_us_per_request: dict[str, float]
