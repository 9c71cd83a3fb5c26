"""Percentiles of latencies."""

from pydantic import BaseModel, ConfigDict


class LatencySummary(BaseModel):
    """Percentiles in milliseconds."""

    model_config = ConfigDict(frozen=True)

    count: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float

    def as_text(self) -> str:
        """Return the percentiles as one line."""
        return (
            f"p50 {self.p50_ms:.2f} ms, p99 {self.p99_ms:.2f} ms, "
            f"p99.9 {self.p999_ms:.2f} ms, max {self.max_ms:.2f} ms"
        )
