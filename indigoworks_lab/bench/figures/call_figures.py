"""Figures of some of a run's calls."""

import math
from collections import Counter
from collections.abc import Sequence

from indigoworks_lab.bench.figures.call_record import CallRecord
from indigoworks_lab.bench.figures.model import Model
from indigoworks_lab.load.latency_histogram import LatencyHistogram
from indigoworks_lab.load.latency_summary import LatencySummary

P99 = 0.99
MS_PER_S = 1000.0


class CallFigures(Model):
    """Goodput, latency and outcomes.

    :ivar offered: requests that arrived in the measured part.
    :ivar goodput_per_s: requests per second that were completed.
    :ivar completed_ratio: share of the offered requests that were completed.
    :ivar latency: of completed requests, from arrival to answer.
    :ivar p99_of_all_ms: the time within which 99 of 100 of all requests were completed; None where
        fewer were completed at all. Requests that fail fast cannot better it.
    :ivar outcomes: number of requests by outcome, and by kind of error where there was one.
    """

    offered: int
    goodput_per_s: float
    completed_ratio: float
    latency: LatencySummary
    p99_of_all_ms: float | None
    outcomes: dict[str, int]


def call_figures(calls: Sequence[CallRecord], measured_s: float) -> CallFigures:
    """Return the figures of `calls`."""
    histogram = LatencyHistogram()
    completed = [each for each in calls if each.is_completed]
    for call in completed:
        histogram.record(call.latency_s)
    return CallFigures(
        offered=len(calls),
        goodput_per_s=round(len(completed) / measured_s, 3),
        completed_ratio=round(len(completed) / len(calls), 6) if calls else 1.0,
        latency=histogram.summary(),
        p99_of_all_ms=_p99_of_all_ms([each.latency_s for each in completed], len(calls)),
        outcomes=dict(sorted(Counter(_outcome(each) for each in calls).items())),
    )


def _p99_of_all_ms(latencies_s: Sequence[float], offered: int) -> float | None:
    position = math.ceil(P99 * offered) - 1
    if not 0 <= position < len(latencies_s):
        return None
    return round(sorted(latencies_s)[position] * MS_PER_S, 3)


def _outcome(call: CallRecord) -> str:
    return f"{call.outcome}: {call.error}" if call.error else call.outcome
