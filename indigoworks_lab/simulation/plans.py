"""The named runs that `scripts/explore` knows."""

from indigoworks_lab.simulation.faults.fault_kind import FaultKind
from indigoworks_lab.simulation.faults.fault_plan import FaultPlan
from indigoworks_lab.simulation.run_plan import RunPlan

MIXED = RunPlan()
"""All kinds of faults, several at once."""

CALM = RunPlan(faults=FaultPlan(weights={}, last_s=20.0), quiet_s=4.0)
"""No faults."""

PLANNED_STOPS = RunPlan(
    faults=FaultPlan(
        weights={
            FaultKind.CONTROLLER_STOPPED: 1.0,
            FaultKind.ROUTER_STOPPED: 1.0,
            FaultKind.SERVER_DRAINED: 1.0,
        },
        mean_pause_s=4.0,
        max_duration_s=3.0,
    )
)
"""Planned stops only, so that every request must be answered."""

SINGLE_LOSSES = RunPlan(
    faults=FaultPlan(
        weights={
            FaultKind.SERVER_KILLED: 1.0,
            FaultKind.SERVER_MACHINE_LOST: 1.0,
            FaultKind.SERVER_FROZEN: 1.0,
            FaultKind.SERVER_DRAINED: 1.0,
            FaultKind.SERVER_CUT: 1.0,
            FaultKind.SERVER_AND_LEADER_KILLED: 1.0,
            FaultKind.SERVER_KILLED_PLATFORM_DOWN: 1.0,
        },
        mean_pause_s=8.0,
        max_duration_s=6.0,
        is_one_at_a_time=True,
    ),
    quiet_s=8.0,
)
"""One loss of a server at a time, to measure when its keys are served again."""

PLANS: dict[str, RunPlan] = {
    "mixed": MIXED,
    "calm": CALM,
    "planned-stops": PLANNED_STOPS,
    "single-losses": SINGLE_LOSSES,
}
