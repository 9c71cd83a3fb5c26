"""Metrics of a controller."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Gauge


class ControllerMetrics:
    """Gauges that read the controller when they are collected.

    :ivar registry: what `/metrics` shows.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()

    def add_gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Add the gauge `indigoworks_controller_NAME`, read by `read` at each collection."""
        gauge = Gauge(f"indigoworks_controller_{name}", text, registry=self.registry)
        gauge.set_function(read)
