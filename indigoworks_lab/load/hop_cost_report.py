"""Costs of the hops on the way to a back end."""

from collections.abc import Mapping, Sequence

from pydantic import BaseModel, ConfigDict

from indigoworks_lab.load.hop_cost import HopCost
from indigoworks_lab.load.hop_path import HopPath
from indigoworks_lab.load.path_figures import PathFigures
from indigoworks_lab.load.path_round import PathRound

HOPS = (
    ("router (caller to dispatcher)", HopPath.DIRECT, HopPath.DISPATCHER),
    ("forward (router to dispatcher)", HopPath.DISPATCHER, HopPath.FORWARDED),
)


class HopCostReport(BaseModel):
    """Figures of each path, what each hop adds, and the rounds behind them."""

    model_config = ConfigDict(frozen=True)

    paths: dict[HopPath, PathFigures]
    hops: tuple[HopCost, ...]
    rounds: dict[HopPath, tuple[PathRound, ...]]

    @classmethod
    def of(cls, rounds: Mapping[HopPath, Sequence[PathRound]]) -> "HopCostReport":
        """Return the report of all rounds of all paths."""
        paths = {path: PathFigures.of(rounds[path]) for path in HopPath}
        hops = tuple(
            HopCost.between(name, paths[shorter], paths[longer]) for name, shorter, longer in HOPS
        )
        return cls(paths=paths, hops=hops, rounds={path: tuple(rounds[path]) for path in HopPath})

    def as_text(self) -> str:
        """Return the figures as a short table."""
        lines = [f"{'path':<12}{'throughput':>12}{'p50':>10}{'p99':>10}{'uncompleted':>13}"]
        for path, figures in self.paths.items():
            lines.append(
                f"{path.value:<12}{figures.throughput_per_s:>10.0f}/s"
                f"{figures.p50_ms:>7.2f} ms{figures.p99_ms:>7.2f} ms{figures.uncompleted:>13}"
            )
        lines += [hop.as_text() for hop in self.hops]
        return "\n".join(lines)
