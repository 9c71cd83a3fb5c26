"""Figures as a Markdown table."""

from collections.abc import Callable, Iterable, Sequence
from statistics import median

from indigoworks_lab.bench.figures.run_figures import RunFigures
from indigoworks_lab.bench.figures.service_figures import ServiceFigures
from indigoworks_lab.bench.installation.installations import INSTALLATIONS

NEVER_MS = float("inf")
"""Shown where fewer than 99 of 100 requests were completed at all."""

Column = tuple[str, Callable[[RunFigures], float | None], str]
"""Heading, value of one run, format."""


def markdown_table(figures: Sequence[RunFigures]) -> str:
    """Return one row for each experiment and variant.

    A cell has the median over the seeds and, where there are several, the least and the greatest.
    """
    rows = ["| " + " | ".join(["experiment", "variant", *(each[0] for each in COLUMNS)]) + " |"]
    rows.append("| --- " * (len(COLUMNS) + 2) + "|")
    names = sorted({(each.installation, each.scenario) for each in figures})
    for installation, scenario in names:
        for variant in _variants(figures):
            runs = [
                each
                for each in figures
                if (each.installation, each.scenario, each.variant)
                == (installation, scenario, variant)
            ]
            if runs:
                cells = [f"{installation}-{scenario}", variant, *(_cell(runs, c) for c in COLUMNS)]
                rows.append("| " + " | ".join(cells) + " |")
    return "\n".join(rows)


def _variants(figures: Iterable[RunFigures]) -> list[str]:
    return sorted({each.variant for each in figures}, key=lambda name: (name != "ours", name))


def _cell(runs: Sequence[RunFigures], column: Column) -> str:
    _, value_of, form = column
    values = [value for value in map(value_of, runs) if value is not None]
    if not values:
        return ""
    text = _text(median(values), form)
    if len(values) > 1:
        text += f" ({_text(min(values), form)}..{_text(max(values), form)})"
    return text


def _text(value: float, form: str) -> str:
    return "never" if value == NEVER_MS else format(value, form)


def hot_service(run: RunFigures) -> ServiceFigures:
    """Return the figures of the installation's service with the repeatable reads."""
    return run.services[INSTALLATIONS[run.installation].hot_service]


def least_kept(run: RunFigures) -> float | None:
    """Return the least goodput that a well-behaved group kept in any service; None: no flood."""
    kept = [value for groups in run.kept_goodput.values() for value in groups.values()]
    return min(kept) if kept else None


def _p99_of_all(run: RunFigures) -> float:
    p99_ms = hot_service(run).reads.p99_of_all_ms
    return NEVER_MS if p99_ms is None else p99_ms


def _not_completed_percent(run: RunFigures) -> float:
    return 100.0 * (1.0 - run.all_calls.completed_ratio)


def _unknown(run: RunFigures) -> float:
    outcomes = run.all_calls.outcomes.items()
    return sum(count for outcome, count in outcomes if outcome.startswith("unknown"))


def _not_served(run: RunFigures) -> float:
    return sum(each.not_served_key_s for each in run.services.values())


def _kept_percent(run: RunFigures) -> float | None:
    least = least_kept(run)
    return None if least is None else 100.0 * least


def _jain(run: RunFigures) -> float:
    return min(each.fairness.jain_index for each in run.services.values())


COLUMNS: tuple[Column, ...] = (
    ("read p50 ms", lambda run: hot_service(run).reads.latency.p50_ms, ".1f"),
    ("read p99 ms", lambda run: hot_service(run).reads.latency.p99_ms, ".0f"),
    ("99 of 100 reads done in ms", _p99_of_all, ".0f"),
    ("read p99.9 ms", lambda run: hot_service(run).reads.latency.p999_ms, ".0f"),
    ("goodput/s", lambda run: run.all_calls.goodput_per_s, ".0f"),
    ("not completed %", _not_completed_percent, ".2f"),
    ("unknown", _unknown, ".0f"),
    ("max/mean", lambda run: hot_service(run).imbalance.max_to_mean, ".2f"),
    ("CV", lambda run: hot_service(run).imbalance.variation, ".2f"),
    ("keys moved %", lambda run: 100.0 * hot_service(run).churn.moved_ratio, ".1f"),
    ("not served key-s", _not_served, ".0f"),
    ("Jain, worst service", _jain, ".3f"),
    ("kept goodput %, worst group", _kept_percent, ".1f"),
    ("wasted %", lambda run: 100.0 * run.wasted_work.wasted_ratio, ".2f"),
    ("writes run twice", lambda run: run.wasted_work.writes_run_twice, ".0f"),
)
