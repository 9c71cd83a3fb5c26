"""Sums up the reports of many seeds."""

from collections import Counter, defaultdict
from typing import Any

from indigoworks_lab.simulation.run_report import RunReport

SHOWN_VIOLATIONS = 5
PERCENTILES = (50, 90, 99, 100)


class ExploreReport:
    """What the seeds of one exploration showed together."""

    def __init__(self, plan: str, broken: str) -> None:
        self._plan = plan
        self._broken = broken
        self._seeds = 0
        self._virtual_s = 0.0
        self._found_seeds: dict[int, list[str]] = {}
        self._faults: Counter[str] = Counter()
        self._most_at_once: Counter[int] = Counter()
        self._calls: Counter[str] = Counter()
        self._executions = 0
        self._settings_accepted = 0
        self._served_again: dict[str, list[float]] = defaultdict(list)
        self._never_served: Counter[str] = Counter()

    @property
    def is_ok(self) -> bool:
        """Tell whether no seed showed anything."""
        return not self._found_seeds

    def add(self, result: RunReport) -> None:
        """Add one seed."""
        self._seeds += 1
        self._virtual_s += result.virtual_s
        self._faults.update(result.faults)
        self._most_at_once[result.most_faults_at_once] += 1
        self._calls.update(result.calls_by_outcome)
        self._executions += result.executions
        self._settings_accepted += result.settings_accepted
        if not result.is_ok:
            self._found_seeds[result.seed] = [str(each) for each in result.violations]
            self._found_seeds[result.seed] += result.failures
        for each in result.served_again:
            if each.duration_s is None:
                self._never_served[each.kind] += 1
            else:
                self._served_again[each.kind].append(each.duration_s)

    def failure_text(self, result: RunReport) -> str:
        """Return what one seed showed and how to run it again."""
        lines = [f"seed {result.seed}: {len(self._found_seeds[result.seed])} found"]
        lines += [f"    {each}" for each in self._found_seeds[result.seed][:SHOWN_VIOLATIONS]]
        broken = f" --broken {self._broken}" if self._broken else ""
        lines.append(
            f"    replay: scripts/explore --seeds 1 --first {result.seed} "
            f"--plan {self._plan}{broken} --jobs 1"
        )
        return "\n".join(lines)

    def text(self, real_s: float) -> str:
        """Return the summary for people."""
        lines = [
            f"plan {self._plan}{', broken rule ' + self._broken if self._broken else ''}: "
            f"{self._seeds} seeds, {self._virtual_s / 3600:.2f} simulated hours, "
            f"{real_s:.0f} s; found in {len(self._found_seeds)} seeds "
            f"{sorted(self._found_seeds)[:20]}",
            f"calls {dict(sorted(self._calls.items()))}, {self._executions} executions, "
            f"{self._settings_accepted} settings changes accepted",
            f"faults injected: {sum(self._faults.values())}; most at the same time: "
            f"{max(self._most_at_once, default=0)}",
        ]
        lines += [f"  {count:6d}  {kind}" for kind, count in sorted(self._faults.items())]
        lines.append("seconds until the keys of a lost server were served again:")
        for kind, durations in sorted(self._served_again.items()):
            lines.append(f"  {kind}: {_distribution(durations)}")
            if self._never_served[kind]:
                lines[-1] += f", not by the end of the run: {self._never_served[kind]}"
        return "\n".join(lines)

    def to_json(self) -> dict[str, Any]:
        """Return the summary for programs."""
        return {
            "plan": self._plan,
            "broken": self._broken,
            "seeds": self._seeds,
            "simulated_hours": self._virtual_s / 3600,
            "found": {str(seed): texts for seed, texts in sorted(self._found_seeds.items())},
            "faults": dict(sorted(self._faults.items())),
            "calls": dict(self._calls),
            "executions": self._executions,
            "settings_accepted": self._settings_accepted,
            "served_again_s": {
                kind: {f"p{p}": _percentile(durations, p) for p in PERCENTILES}
                | {"count": len(durations), "never": self._never_served[kind]}
                for kind, durations in sorted(self._served_again.items())
            },
        }


def _distribution(durations: list[float]) -> str:
    parts = [f"p{each} {_percentile(durations, each):.2f}" for each in PERCENTILES]
    return f"{len(durations)} keys, " + ", ".join(parts)


def _percentile(durations: list[float], percentile: int) -> float:
    ordered = sorted(durations)
    position = max(0, -(-len(ordered) * percentile // 100) - 1)
    return round(ordered[position], 3)
