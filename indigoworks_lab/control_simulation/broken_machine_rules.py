"""Broken rules that show on machines whose processes and clocks do not run evenly."""

from indigoworks.ownership import hold_bounds
from indigoworks_lab.control_simulation import overlap_checker
from indigoworks_lab.control_simulation.broken_control_rule import broken_control_rule
from indigoworks_lab.control_simulation.fault_kind import FaultKind
from indigoworks_lab.simulation.broken_rules.broken_rule import Replacement

BROKEN_MACHINE_RULES = (
    broken_control_rule(
        "orders-to-paused-as-answered",
        "A grant that waits at a paused server counts from its sending.",
        overlap_checker.CHECKER,
        lambda: [Replacement(hold_bounds, "LATE_ORDER_S", -0.8)],
        (FaultKind.SERVER_PAUSED, 1.0, 8.0),
        (FaultKind.SERVER_PAUSED, 10.0, 8.0),
    ),
)
