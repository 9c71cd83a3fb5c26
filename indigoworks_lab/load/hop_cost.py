"""What one hop adds."""

from pydantic import BaseModel, ConfigDict

from indigoworks_lab.load.path_figures import PathFigures


class HopCost(BaseModel):
    """Difference between a path and the one without the hop.

    :ivar throughput_ratio: throughput with the hop, as a share of that without it.
    :ivar cpu_us_per_request: processor time that all processes together spend more.
    """

    model_config = ConfigDict(frozen=True)

    name: str
    p50_ms: float
    p99_ms: float
    throughput_ratio: float
    cpu_us_per_request: float

    @classmethod
    def between(cls, name: str, shorter: PathFigures, longer: PathFigures) -> "HopCost":
        """Return what `longer` costs more than `shorter`."""
        return cls(
            name=name,
            p50_ms=longer.p50_ms - shorter.p50_ms,
            p99_ms=longer.p99_ms - shorter.p99_ms,
            throughput_ratio=longer.throughput_per_s / shorter.throughput_per_s,
            cpu_us_per_request=_cpu_us(longer) - _cpu_us(shorter),
        )

    def as_text(self) -> str:
        """Return the cost as one line."""
        return (
            f"hop {self.name}: p50 {self.p50_ms:+.2f} ms, p99 {self.p99_ms:+.2f} ms, "
            f"throughput x {self.throughput_ratio:.2f}, "
            f"processor {self.cpu_us_per_request:+.0f} us/request"
        )


def _cpu_us(figures: PathFigures) -> float:
    return sum(figures.cpu_us_per_request.values())
