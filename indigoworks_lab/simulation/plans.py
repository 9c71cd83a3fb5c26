"""The named runs that `scripts/explore` knows."""

from indigoworks_lab.simulation.deployment_shape import DeploymentShape
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
            FaultKind.LEADER_STOPPED: 1.0,
            FaultKind.ROUTER_STOPPED: 1.0,
            FaultKind.SERVER_DRAINED: 1.0,
        },
        mean_pause_s=4.0,
        max_duration_s=3.0,
    )
)
"""Planned stops only, so that every request must be answered."""

SINGLE_LOSSES = RunPlan(
    shape=DeploymentShape(keys_per_service=10),
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
        mean_pause_s=6.0,
        max_duration_s=5.0,
        is_one_at_a_time=True,
    ),
    quiet_s=8.0,
)
"""One loss of a server at a time, to measure when its keys are served again."""

LEASES = RunPlan(
    faults=FaultPlan(
        weights={
            FaultKind.SERVER_CUT: 3.0,
            FaultKind.SERVER_FROZEN: 3.0,
            FaultKind.SERVER_KILLED: 1.0,
            FaultKind.SERVER_DRAINED: 2.0,
            FaultKind.HOST_CUT: 1.0,
            FaultKind.HOST_CUT_ONE_WAY: 2.0,
            FaultKind.ZONE_CUT: 1.0,
            FaultKind.ZONE_CUT_ONE_WAY: 1.0,
            FaultKind.MESSAGES_LATE: 1.0,
            FaultKind.HOST_SLOW: 1.0,
            FaultKind.RENEWAL_ANSWERS_LOST: 2.0,
            FaultKind.LEADER_KILLED: 1.0,
            FaultKind.LEADER_FROZEN: 1.0,
            FaultKind.LEADER_STOPPED: 4.0,
        },
        last_s=24.0,
        mean_pause_s=0.7,
    )
)
"""Faults between leaders and back ends, dense."""

HANDOVERS = RunPlan(
    faults=FaultPlan(
        weights={
            FaultKind.SERVER_DRAINED: 8.0,
            FaultKind.SERVER_CUT: 1.0,
            FaultKind.SERVER_FROZEN: 2.0,
            FaultKind.HOST_SLOW: 4.0,
            FaultKind.HOST_CUT_ONE_WAY: 2.0,
            FaultKind.LINK_CUT_ONE_WAY: 3.0,
            FaultKind.MESSAGES_LATE: 3.0,
            FaultKind.RENEWAL_ANSWERS_LOST: 1.0,
            FaultKind.LEADER_FROZEN: 1.0,
        },
        last_s=24.0,
        mean_pause_s=0.6,
        max_duration_s=5.0,
    )
)
"""Servers are drained one after the other while messages are slow, late or held back."""

AGREEMENT = RunPlan(
    faults=FaultPlan(
        weights={
            FaultKind.CONTROLLER_KILLED: 4.0,
            FaultKind.CONTROLLER_FROZEN: 2.0,
            FaultKind.CONTROLLER_REPLACED: 1.0,
            FaultKind.LEADER_KILLED: 2.0,
            FaultKind.LEADER_FROZEN: 2.0,
            FaultKind.LEADER_CUT: 2.0,
            FaultKind.LEADER_SPLIT_OFF: 6.0,
            FaultKind.MAJORITY_KILLED: 0.3,
            FaultKind.HOST_CUT: 1.0,
            FaultKind.HOST_CUT_ONE_WAY: 1.0,
            FaultKind.ZONE_CUT: 2.0,
            FaultKind.ZONE_CUT_ONE_WAY: 1.0,
            FaultKind.LINK_CUT_ONE_WAY: 2.0,
            FaultKind.MESSAGES_LATE: 1.0,
            FaultKind.SERVER_KILLED: 6.0,
            FaultKind.SERVER_CUT: 2.0,
            FaultKind.SERVER_DRAINED: 3.0,
        },
        last_s=24.0,
        mean_pause_s=0.7,
    )
)
"""Faults of the controllers while servers come and go, dense."""

SETTINGS = RunPlan(
    faults=FaultPlan(
        weights={
            FaultKind.OPERATORS_RACE: 8.0,
            FaultKind.PLATFORM_DOWN: 1.0,
            FaultKind.PLATFORM_SLOW: 1.0,
            FaultKind.PLATFORM_ANSWERS_LOST: 2.0,
            FaultKind.PLATFORM_RATE_LIMITED: 1.0,
            FaultKind.PLATFORM_CUT: 1.0,
            FaultKind.LEADER_KILLED: 1.0,
            FaultKind.LEADER_FROZEN: 1.0,
            FaultKind.LEADER_CUT: 1.0,
            FaultKind.MAJORITY_KILLED: 0.3,
            FaultKind.CONTROLLER_KILLED: 1.0,
            FaultKind.ROUTER_FROZEN: 1.0,
            FaultKind.ZONE_CUT: 2.0,
            FaultKind.HOST_CUT: 2.0,
        },
        last_s=30.0,
        mean_pause_s=0.8,
        max_duration_s=10.0,
    )
)
"""Operators race while the platform, the leader and the network fail, dense."""

ANSWERS = RunPlan(
    faults=FaultPlan(
        weights={
            FaultKind.REQUEST_ANSWERS_LOST: 4.0,
            FaultKind.MESSAGES_LATE: 2.0,
            FaultKind.HOST_SLOW: 2.0,
            FaultKind.SERVER_KILLED: 1.0,
            FaultKind.SERVER_FROZEN: 1.0,
            FaultKind.SERVER_DRAINED: 1.0,
            FaultKind.ROUTER_KILLED: 1.0,
            FaultKind.ROUTER_FROZEN: 1.0,
            FaultKind.LINK_CUT_ONE_WAY: 2.0,
            FaultKind.HOST_CUT: 1.0,
        },
        last_s=24.0,
        mean_pause_s=0.7,
    )
)
"""Faults on the way of requests and answers, dense."""

PLANS: dict[str, RunPlan] = {
    "mixed": MIXED,
    "calm": CALM,
    "planned-stops": PLANNED_STOPS,
    "single-losses": SINGLE_LOSSES,
    "leases": LEASES,
    "handovers": HANDOVERS,
    "agreement": AGREEMENT,
    "settings": SETTINGS,
    "answers": ANSWERS,
}
