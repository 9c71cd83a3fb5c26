"""Processor time of the processes on the way of a request."""

from collections.abc import Sequence
from statistics import median

from pydantic import BaseModel, ConfigDict

from indigoworks_lab.load.hop_path import HopPath
from indigoworks_lab.load.router_profile import RouterProfile


class RouterCostReport(BaseModel):
    """Processor time in microseconds per request.

    :ivar rounds_us: by path and process, one figure for each round.
    :ivar profiles: by path and router; empty where none was asked for.
    :ivar uncompleted: requests of all rounds that were not completed.
    """

    model_config = ConfigDict(frozen=True)

    rounds_us: dict[HopPath, dict[str, tuple[float, ...]]]
    profiles: dict[HopPath, dict[str, RouterProfile]]
    uncompleted: int

    def as_text(self) -> str:
        """Return the figures as a table, and the profiles below it."""
        lines = [f"{'path':<12}{'process':<20}{'lowest':>9}{'median':>9}  us a request, rounds"]
        for path, processes in self.rounds_us.items():
            lines += [_line(path, name, rounds) for name, rounds in processes.items()]
        lines.append(f"uncompleted requests: {self.uncompleted}")
        for path, profiles in self.profiles.items():
            for name, profile in profiles.items():
                lines += ["", f"profile of the {name}, path {path.value}:", profile.as_text()]
        return "\n".join(lines)


def _line(path: HopPath, name: str, rounds: Sequence[float]) -> str:
    each = " ".join(f"{us:.0f}" for us in rounds)
    return f"{path.value:<12}{name:<20}{min(rounds):>9.0f}{median(rounds):>9.0f}  {each}"
