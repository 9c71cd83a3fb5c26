"""Imbalance of load over the servers of a service."""

from collections.abc import Sequence
from statistics import fmean, pstdev

from indigoworks_lab.backend.execution_outcome import ExecutionOutcome
from indigoworks_lab.bench.deployment.bench_server import BenchServer
from indigoworks_lab.bench.figures.model import Model


class Imbalance(Model):
    """Spread of the busy time of the servers that were there from the first to the last moment.

    :ivar max_to_mean: busy time of the busiest server over the mean; 1 is even.
    :ivar variation: coefficient of variation, the standard deviation over the mean.
    :ivar mean_busy_ratio: mean share of the slots that were busy.
    """

    max_to_mean: float
    variation: float
    mean_busy_ratio: float


def imbalance(
    servers: Sequence[BenchServer], joined: frozenset[str], from_s: float, to_s: float
) -> Imbalance:
    """Return the imbalance of `servers` between two moments.

    :param joined: names of servers that came after the start.
    """
    ratios = [
        _busy_s(server, from_s, to_s) / (to_s - from_s) / server.profile.slots
        for server in servers
        if not server.is_lost and server.identity.name not in joined
    ]
    mean = fmean(ratios)
    return Imbalance(
        max_to_mean=round(max(ratios) / mean, 4),
        variation=round(pstdev(ratios) / mean, 4),
        mean_busy_ratio=round(mean, 4),
    )


def _busy_s(server: BenchServer, from_s: float, to_s: float) -> float:
    return sum(
        max(0.0, min(each.ended_s, to_s) - max(each.started_s, from_s))
        for each in server.history.after(0)
        if each.outcome is ExecutionOutcome.APPLIED
    )
