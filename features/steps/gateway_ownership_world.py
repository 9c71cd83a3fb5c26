"""Keepers without tasks, and bounds of holds on a clock that is set by hand."""

from indigoworks.ownership.hold_bounds import HoldBounds
from indigoworks.ownership.owned_range import OwnedRange
from indigoworks_lab.simulation.core.manual_clock import ManualClock

HOLD_S = 10.0
TIMEOUT_S = 0.5


class FakeKeeper:
    """Stands for the task that keeps a range."""

    failures = 0
    needs_token = needs_fence = False
    return_move = None

    def __init__(self, service, owned) -> None:
        self.service, self.owned = service, owned
        self.is_granted = self.is_stopped = False

    def start(self, is_granted) -> None:
        self.is_granted = is_granted

    def stop(self) -> None:
        self.is_stopped = True


def grant(clock, bounds, owned, waited_s=0.2):
    bounds.record_sent(owned, HOLD_S, TIMEOUT_S)
    clock._now_s += waited_s


def make_bounds():
    clock = ManualClock()
    bounds = HoldBounds(clock)
    bounds.start_epoch(float("-inf"))
    return clock, bounds, OwnedRange(100, 199, "a", 4)
