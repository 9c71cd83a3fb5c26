"""Figures of one path over all rounds."""

from collections.abc import Sequence
from statistics import median

from pydantic import BaseModel, ConfigDict

from indigoworks_lab.load.load_outcome import LoadOutcome
from indigoworks_lab.load.path_round import PathRound


class PathFigures(BaseModel):
    """Medians over the rounds.

    :ivar throughput_per_s: completed requests per second of the closed loop.
    :ivar p50_ms, p99_ms: latency of the open loop.
    :ivar cpu_us_per_request: processor time by process, in the open loop.
    :ivar uncompleted: requests of both loops, all rounds, that were not completed.
    """

    model_config = ConfigDict(frozen=True)

    throughput_per_s: float
    p50_ms: float
    p99_ms: float
    cpu_us_per_request: dict[str, float]
    uncompleted: int

    @classmethod
    def of(cls, rounds: Sequence[PathRound]) -> "PathFigures":
        """Return the figures of `rounds`, at least one."""
        processes = rounds[0].cpu_us_per_request
        return cls(
            throughput_per_s=median(each.closed_loop.goodput_per_s for each in rounds),
            p50_ms=median(each.open_loop.completed.p50_ms for each in rounds),
            p99_ms=median(each.open_loop.completed.p99_ms for each in rounds),
            cpu_us_per_request={
                process: median(each.cpu_us_per_request[process] for each in rounds)
                for process in processes
            },
            uncompleted=sum(_uncompleted(each) for each in rounds),
        )


def _uncompleted(measured: PathRound) -> int:
    reports = (measured.open_loop, measured.closed_loop)
    return sum(each.offered - each.outcomes.get(LoadOutcome.COMPLETED, 0) for each in reports)
