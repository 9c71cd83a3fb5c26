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

SUSPENDED_SEEDS = (1, 2, 3)
PAUSED_SEEDS = (1, 2, 3)
SHORT_PAUSES = (
    ((1.0, 1.0), (4.0, 2.0), (8.0, 3.0)),
    ((1.0, 5.0), (9.0, 5.0)),
    ((1.0, 15.0), (3.0, 14.0)),
)
LOST_LEADER_SEEDS = (3, 5, 7)
FORGETTING_SEEDS = (1, 2)
LEADER_ENDS = (
    FaultKind.LEADER_STOPPED,
    FaultKind.LEADER_KILLED,
    FaultKind.LEADER_CUT_FROM_SERVERS,
)
LEADER_ENDS_AT_S = (4.0, 6.0, 8.0, 10.0, 12.0, 14.0)
LEADER_END_SEEDS = (3, 4, 5)
SEEDS = (1, 2, 3)
BEFORE_BYTES = {
    "frozen": FaultKind.LEADER_FROZEN_BEFORE_BYTES,
    "late": FaultKind.LEADER_LATE_BEFORE_BYTES,
}
LONG_PAUSES = {3: 18.0, 7: 18.0, 2: 25.0, 5: 25.0}
"""By seed."""


@when(
    "control simulation lets the store's clock jump {direction} beside moves, leaving servers and"
    " cuts"
)
def step_store_clock_jumps(context, direction):
    jump = DrawnFault(JUMPS[direction], 1.0, 0.0)
    context.reports = [run_faults(seed, jump, *BESIDE_JUMPS[seed]) for seed in BESIDE_JUMPS]


@when("control simulation stops a machine with its clock that leads later")
def step_suspended_before(context):
    faults = (
        DrawnFault(FaultKind.NODE_CLOCK_STOPS, 0.5, 4.0),
        DrawnFault(FaultKind.LEADER_KILLED, 6.0, 11.0),
    )
    context.reports = [run_faults(seed, *faults, nodes=2) for seed in SUSPENDED_SEEDS]


@when("control simulation suspends the leader's machine beyond its lease")
def step_suspended_leader(context):
    """In the second run it stays cut off from store and peers for a while."""
    cut_off = (
        DrawnFault(FaultKind.LEADER_CUT_FROM_STORE, 0.9, 11.0),
        DrawnFault(FaultKind.LEADER_CUT_FROM_PEERS, 0.9, 11.0),
        DrawnFault(FaultKind.LEADER_SUSPENDED, 1.0, 5.0),
    )
    alone = run_faults(1, DrawnFault(FaultKind.LEADER_SUSPENDED, 1.0, 9.0))
    context.reports = [alone, run_faults(5, *cut_off)]


@when("control simulation pauses servers for 1 s to 15 s")
def step_short_pauses(context):
    context.reports = [
        run_faults(seed, *(DrawnFault(FaultKind.SERVER_PAUSED, *pause) for pause in pauses))
        for pauses in SHORT_PAUSES
        for seed in PAUSED_SEEDS
    ]


@when("control simulation pauses servers for 18 s and 25 s")
def step_long_pauses(context):
    context.reports = [
        run_faults(seed, DrawnFault(FaultKind.SERVER_PAUSED, 1.0, pause_s))
        for seed, pause_s in LONG_PAUSES.items()
    ]


@when("control simulation pauses a server for 25 s and kills the leader meanwhile")
def step_paused_without_leader(context):
    faults = (
        DrawnFault(FaultKind.SERVER_PAUSED, 1.0, 25.0),
        DrawnFault(FaultKind.LEADER_KILLED, 4.0, 2.0),
    )
    context.reports = [run_faults(seed, *faults) for seed in LOST_LEADER_SEEDS]


@when("control simulation lets servers forget the tokens of releases while orders are late")
def step_forgotten_releases(context):
    late = DrawnFault(FaultKind.ORDERS_LATE, 0.5, 16.0)
    plan = ControlPlan(NODES, SERVERS, (late,), forgets_releases=True)
    context.reports = [run_control_seed(seed, plan) for seed in FORGETTING_SEEDS]


@when("control simulation ends the terms of leaders one after the other while orders are late")
def step_forgotten_releases_of_leaders(context):
    late = DrawnFault(FaultKind.ORDERS_LATE, 0.5, 16.0)
    context.reports = []
    for kind in LEADER_ENDS:
        ends = (DrawnFault(kind, start_s, 1.0) for start_s in LEADER_ENDS_AT_S)
        plan = ControlPlan(NODES, SERVERS, (late, *ends), forgets_releases=True)
        context.reports += [run_control_seed(seed, plan) for seed in LEADER_END_SEEDS]


@when("control simulation lets the leader stand still before orders' bytes because it is {how}")
def step_before_bytes(context, how):
    """With it the leader is lost: cut off from the store, and from all others as well."""
    still = DrawnFault(BEFORE_BYTES[how], 1.0, 15.0)
    cut = DrawnFault(FaultKind.LEADER_CUT_FROM_STORE, 2.0, 8.0)
    alone = DrawnFault(FaultKind.LEADER_CUT_FROM_PEERS, 2.0, 8.0)
    plans = ((still,), (still, cut), (still, cut, alone))
    context.reports = [run_faults(seed, *faults) for faults in plans for seed in SEEDS]


@when("control simulation loses leaders in a chain after trouble of the store with a dark server")
def step_chain(context):
    trouble = DrawnFault(FaultKind.STORE_REFUSING, 0.0, 3.0)
    late = DrawnFault(FaultKind.ORDERS_ALL_LATE, 2.5, 0.5)
    dark = DrawnFault(FaultKind.SERVER_DARK, 2.9, 14.0)
    chain = DrawnFault(FaultKind.LEADERS_LOST_IN_CHAIN, 3.0, 10.0)
    plans = ((trouble, dark, chain), (trouble, late, dark, chain))
    context.reports = [run_faults(seed, *faults) for faults in plans for seed in SEEDS]


@when("control simulation lets servers answer 421 to orders and name no other server")
def step_misdirected(context):
    long = (
        DrawnFault(FaultKind.SERVER_MISDIRECTED, 1.0, 6.0),
        DrawnFault(FaultKind.SERVER_MISDIRECTED, 9.0, 2.0),
    )
    short = (
        DrawnFault(FaultKind.SERVER_MISDIRECTED, 1.0, 0.4),
        DrawnFault(FaultKind.SERVER_MISDIRECTED, 5.0, 0.8),
    )
    context.reports = [run_faults(seed, *faults) for faults in (long, short) for seed in SEEDS]


def run_faults(seed, *faults, nodes=NODES):
    """Run a seed under faults."""
    return run_control_seed(seed, ControlPlan(nodes, SERVERS, faults))
