"""Metrics of a controller."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Gauge


class ControllerMetrics:
    """Gauges that read the controller at each collection.

    :ivar registry: metrics exported at `/metrics`.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()

    def add_gauge(self, name: str, description: str, read: Callable[[], float]) -> None:
        """Add the gauge `indigoworks_controller_NAME`, read by `read` at each collection."""
        gauge = Gauge(f"indigoworks_controller_{name}", description, registry=self.registry)
        gauge.set_function(read)
