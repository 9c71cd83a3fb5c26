"""Broken rules that show on machines whose processes and clocks do not run evenly."""

from indigoworks.ownership import hold_bounds
from indigoworks_lab.control_simulation import lease_checker, overlap_checker
from indigoworks_lab.control_simulation.broken_control_rule import broken_control_rule
from indigoworks_lab.control_simulation.fault_kind import FaultKind
from indigoworks_lab.control_simulation.node_clock import NodeClock
from indigoworks_lab.simulation.broken_rules.broken_rule import Replacement
from indigoworks_lab.simulation.core.host_clock import HostClock


def _now_without_suspension(clock: NodeClock) -> float:
    return HostClock.now(clock) - clock._suspended_s


BROKEN_MACHINE_RULES = (
    broken_control_rule(
        "orders-to-paused-as-answered",
        "A grant that waits at a paused server counts from its sending.",
        overlap_checker.CHECKER,
        lambda: [Replacement(hold_bounds, "LATE_ORDER_S", -0.8)],
        (FaultKind.SERVER_PAUSED, 1.0, 8.0),
        (FaultKind.SERVER_PAUSED, 10.0, 8.0),
    ),
    broken_control_rule(
        "clock-without-suspension",
        "A gateway reads a clock that stands still while its machine is suspended.",
        lease_checker.CHECKER,
        lambda: [Replacement(NodeClock, "now", _now_without_suspension)],
        (FaultKind.LEADER_SUSPENDED, 1.0, 9.0),
    ),
)
