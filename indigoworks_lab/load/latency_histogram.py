"""Distribution of latencies."""

from hdrh.histogram import HdrHistogram

from indigoworks_lab.load.latency_summary import LatencySummary

LOWEST_US = 1
HIGHEST_US = 120_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000
US_PER_MS = 1000.0


class LatencyHistogram:
    """Records latencies from one microsecond to two minutes, to three digits."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)

    def record(self, latency_s: float) -> None:
        """Add one latency, in seconds."""
        in_us = int(latency_s * US_PER_S)
        self._histogram.record_value(min(max(in_us, LOWEST_US), HIGHEST_US))

    def summary(self) -> LatencySummary:
        """Return the percentiles; all are 0 where nothing was recorded."""
        return LatencySummary(
            count=self._histogram.get_total_count(),
            p50_ms=self._percentile_ms(50.0),
            p99_ms=self._percentile_ms(99.0),
            p999_ms=self._percentile_ms(99.9),
            max_ms=self._histogram.get_max_value() / US_PER_MS,
        )

    def _percentile_ms(self, percentile: float) -> float:
        return float(self._histogram.get_value_at_percentile(percentile)) / US_PER_MS
