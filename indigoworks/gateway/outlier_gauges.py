"""Gauges of servers that fail."""

from indigoworks.common.metrics import Labels, Metrics
from indigoworks.outliers.outlier_detector import OutlierDetector

NO_LABELS: Labels = ()


def add_outlier_gauges(metrics: Metrics, outliers: OutlierDetector) -> None:
    """Register them."""
    metrics.gauge(
        "gateway_ejected_servers",
        "Servers that get trial requests only, since they fail",
        NO_LABELS,
        lambda: {NO_LABELS: len(outliers.ejected())},
    )
    metrics.read_counter(
        "gateway_server_faults",
        "Outcomes that counted against a server",
        ("kind",),
        lambda: {(kind,): count for kind, count in outliers.counts.faults.items()},
    )
    metrics.read_counter(
        "gateway_ejections",
        "Servers ejected, and trial requests to them",
        ("what",),
        lambda: {
            ("ejection",): outliers.counts.ejections,
            ("trial",): outliers.counts.trials,
        },
    )
