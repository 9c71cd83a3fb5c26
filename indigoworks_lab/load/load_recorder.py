"""Collects the outcomes of a load."""

from collections import Counter

from indigoworks_lab.load.latency_histogram import LatencyHistogram
from indigoworks_lab.load.load_outcome import LoadOutcome
from indigoworks_lab.load.load_report import LoadReport


class LoadRecorder:
    """Counts requests that were due after the warm-up."""

    def __init__(self, counted_from_s: float) -> None:
        """Start counting.

        :param counted_from_s: clock reading; requests due earlier are not counted.
        """
        self._counted_from_s = counted_from_s
        self._outcomes: Counter[LoadOutcome] = Counter()
        self._completed = LatencyHistogram()
        self._start_lag = LatencyHistogram()

    def started(self, due_s: float, started_s: float) -> None:
        """Record when a request was due and when the generator started it."""
        if due_s >= self._counted_from_s:
            self._start_lag.record(started_s - due_s)

    def ended(self, due_s: float, ended_s: float, outcome: LoadOutcome) -> None:
        """Record what became of a request."""
        if due_s < self._counted_from_s:
            return
        self._outcomes[outcome] += 1
        if outcome is LoadOutcome.COMPLETED:
            self._completed.record(ended_s - due_s)

    def report(self, measured_s: float) -> LoadReport:
        """Return the result of a counted part of `measured_s` seconds."""
        completed = self._outcomes[LoadOutcome.COMPLETED]
        return LoadReport(
            measured_s=measured_s,
            offered=sum(self._outcomes.values()),
            outcomes={key: count for key, count in self._outcomes.items() if count},
            goodput_per_s=completed / measured_s,
            completed=self._completed.summary(),
            start_lag=self._start_lag.summary(),
        )
