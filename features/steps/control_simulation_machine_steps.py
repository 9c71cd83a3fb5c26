"""Steps that run the simulation of the control code on machines that do not run evenly."""

from behave import when

from indigoworks_lab.control_simulation.control_plan import ControlPlan
from indigoworks_lab.control_simulation.drawn_fault import DrawnFault
from indigoworks_lab.control_simulation.fault_kind import FaultKind
from indigoworks_lab.control_simulation.run_control_seed import run_control_seed

NODES = 3
SERVERS = 4

JUMPS = {
    "forward": FaultKind.STORE_CLOCK_JUMPS_FORWARD,
    "backward": FaultKind.STORE_CLOCK_JUMPS_BACKWARD,
}
BESIDE_JUMPS = {
    1: (),
    5: (
        DrawnFault(FaultKind.SERVER_DRAINING, 3.0, 0.0),
        DrawnFault(FaultKind.SERVER_DRAINING, 9.0, 0.0),
    ),
    8: (
        DrawnFault(FaultKind.SERVER_CUT_FROM_LEADER, 2.5, 6.0),
        DrawnFault(FaultKind.SERVER_CUT_FROM_LEADER, 9.0, 6.0),
    ),
}
"""By seed; ranges move for load in each run."""


@when(
    "control simulation lets the store's clock jump {direction} beside moves, leaving servers and"
    " cuts"
)
def step_store_clock_jumps(context, direction):
    jump = DrawnFault(JUMPS[direction], 1.0, 0.0)
    context.reports = [run_faults(seed, jump, *BESIDE_JUMPS[seed]) for seed in BESIDE_JUMPS]


def run_faults(seed, *faults):
    """Run a seed under faults."""
    return run_control_seed(seed, ControlPlan(NODES, SERVERS, faults))
