"""Figures of a point that tables, slopes and plots show."""

from collections.abc import Callable
from dataclasses import dataclass
from statistics import fmean, median

from indigoworks_lab.scale.point_result import PointResult
from indigoworks_lab.scale.usage_window import UsageWindow

MIB = 1024 * 1024


@dataclass(frozen=True)
class Figure:
    """One column: its heading and the values of a point; no value where it was not measured."""

    heading: str
    values: Callable[[PointResult], list[float]]

    def middle(self, result: PointResult) -> float | None:
        """Return the mean of the values, or None."""
        values = self.values(result)
        return fmean(values) if values else None


def _resting(of_window: Callable[[UsageWindow], float]) -> Callable[[PointResult], list[float]]:
    return lambda result: [of_window(window) for window in result.resting]


def _changing(of_window: Callable[[UsageWindow], float]) -> Callable[[PointResult], list[float]]:
    return lambda result: [] if result.changing is None else [of_window(result.changing)]


def _positive(of_result: Callable[[PointResult], float]) -> Callable[[PointResult], list[float]]:
    return lambda result: [of_result(result)] if of_result(result) > 0 else []


def settings_median_s(result: PointResult) -> list[float]:
    """Return the median time of a settings change, if any was measured."""
    return [median(result.settings_s)] if result.settings_s else []


def settings_worst_s(result: PointResult) -> list[float]:
    """Return the longest time of a settings change, if any was measured."""
    return [max(result.settings_s)] if result.settings_s else []


LEADER_CORES = Figure("leader cores", _resting(lambda each: each.leader_cores))
FOLLOWER_CORES = Figure("follower cores", _resting(lambda each: each.follower_cores))
LEADER_ALONE_CORES = Figure(
    "leader less follower cores", _resting(lambda each: each.leader_cores - each.follower_cores)
)
LEADER_MEMORY = Figure("leader MiB", _resting(lambda each: each.leader_bytes / MIB))
FOLLOWER_MEMORY = Figure("follower MiB", _resting(lambda each: each.follower_bytes / MIB))
ROUTER_CORES = Figure("cores a router", _resting(lambda each: each.router_cores))
ROUTER_MESSAGES = Figure("polls/s a router", _resting(lambda each: each.router_messages))
ROUTER_BYTES = Figure("bytes/s a router", _resting(lambda each: each.router_bytes))
SERVER_MESSAGES = Figure("renewals/s a back end", _resting(lambda each: each.server_messages))
SERVER_BYTES = Figure("bytes/s a back end", _resting(lambda each: each.server_bytes))
CHANGING_LEADER_CORES = Figure("leader cores, changing", _changing(lambda each: each.leader_cores))
CHANGING_FOLLOWER_CORES = Figure(
    "follower cores, changing", _changing(lambda each: each.follower_cores)
)
CHANGING_ROUTER_BYTES = Figure(
    "bytes/s a router, changing", _changing(lambda each: each.router_bytes)
)
SETTINGS_MEDIAN = Figure("settings in force s, median", settings_median_s)
SETTINGS_WORST = Figure("settings in force s, worst", settings_worst_s)
LOSS = Figure("loss known s", lambda result: result.loss_s)
ZONE_LOSS = Figure("zone loss known s", _positive(lambda result: result.zone_loss_s))
RETURN = Figure("routers return s", _positive(lambda result: result.routers_return_s))
RETURN_BYTES = Figure("return bytes a router", _positive(lambda each: each.routers_return_bytes))
SNAPSHOT = Figure("whole view bytes", _positive(lambda result: float(result.snapshot_bytes)))
REGISTRATION = Figure("registration s", _positive(lambda result: result.registration_s))
FIRST_OWNERS = Figure("first owners s", _positive(lambda result: result.first_owners_s))
PLATFORM_CORES = Figure("platform cores", _positive(lambda result: result.platform_cores))

FIGURES = (
    LEADER_CORES,
    FOLLOWER_CORES,
    LEADER_ALONE_CORES,
    LEADER_MEMORY,
    FOLLOWER_MEMORY,
    ROUTER_CORES,
    ROUTER_MESSAGES,
    ROUTER_BYTES,
    SERVER_MESSAGES,
    SERVER_BYTES,
    CHANGING_LEADER_CORES,
    CHANGING_FOLLOWER_CORES,
    CHANGING_ROUTER_BYTES,
    SETTINGS_MEDIAN,
    SETTINGS_WORST,
    LOSS,
    ZONE_LOSS,
    RETURN,
    RETURN_BYTES,
    SNAPSHOT,
    REGISTRATION,
    FIRST_OWNERS,
    PLATFORM_CORES,
)
