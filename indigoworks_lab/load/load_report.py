"""Result of a load."""

from pydantic import BaseModel, ConfigDict

from indigoworks_lab.load.latency_summary import LatencySummary
from indigoworks_lab.load.load_outcome import LoadOutcome


class LoadReport(BaseModel):
    """Counts and latencies of the counted part of a load.

    :ivar measured_s: length of the counted part, in seconds.
    :ivar goodput_per_s: completed requests per second.
    :ivar completed: latency of completed requests, from the moment they were due.
    :ivar start_lag: how late the generator itself started requests. Where it is not far below
        the latencies, the generator was too slow and the figures are not those of the target.
    """

    model_config = ConfigDict(frozen=True)

    measured_s: float
    offered: int
    outcomes: dict[LoadOutcome, int]
    goodput_per_s: float
    completed: LatencySummary
    start_lag: LatencySummary

    def as_text(self) -> str:
        """Return the report as a few lines."""
        counts = ", ".join(f"{name.value} {count}" for name, count in self.outcomes.items())
        return "\n".join(
            (
                f"{self.offered} requests in {self.measured_s:.1f} s: {counts or 'none'}",
                f"goodput {self.goodput_per_s:.1f}/s; {self.completed.as_text()}",
                f"generator's own lag: {self.start_lag.as_text()}",
            )
        )
