"""Gauges of buffered bytes, and of responses that exceeded their bounds."""

from indigoworks.common.byte_budget import PROCESS_BUDGET
from indigoworks.common.exceeded_responses import EXCEEDED_RESPONSES
from indigoworks.common.metrics import Labels, Metrics

NO_LABELS: Labels = ()


def add_byte_gauges(metrics: Metrics) -> None:
    """Register them."""
    budget = PROCESS_BUDGET
    metrics.gauge(
        "gateway_buffered_bytes",
        "Bytes of requests and responses held in memory, and the most that may be",
        ("state",),
        lambda: {
            ("small",): budget.small_used,
            ("large",): budget.large_used,
            ("limit",): budget.limit,
        },
    )
    metrics.gauge(
        "gateway_responses_waiting_for_memory",
        "Responses that are not read further until there is room",
        NO_LABELS,
        lambda: {NO_LABELS: budget.waiting},
    )
    metrics.read_counter(
        "gateway_memory_refusals",
        "Requests refused and responses cut for lack of room",
        ("kind",),
        lambda: {("refused",): budget.refused, ("cut",): budget.cut},
    )
    metrics.read_counter(
        "gateway_responses_exceeded",
        "Responses that exceeded a bound",
        ("address", "bound"),
        lambda: {each: count for each, count in EXCEEDED_RESPONSES.counts.items()},
    )
