"""Steps that run the simulation of the control code on a row store."""

from pathlib import Path

from behave import then, when

from indigoworks_lab.control_simulation.broken_control_rules import BROKEN_CONTROL_RULES
from indigoworks_lab.control_simulation.control_catch import control_catch
from indigoworks_lab.control_simulation.control_plan import ControlPlan
from indigoworks_lab.control_simulation.drawn_fault import DrawnFault
from indigoworks_lab.control_simulation.fault_kind import FaultKind
from indigoworks_lab.control_simulation.run_control_seed import run_control_seed

NODES = 3
SERVERS = 4
LATE_SEEDS = range(1, 9)
OUTAGE_SEEDS = range(1, 5)
CUT_SERVERS = 5
CUTS = 8
"""Paths from a drawn server to a drawn node: with 15 paths some server is reached by few nodes."""
FEATURES = Path(__file__).parent.parent


@when("control simulation seed {seed:d} runs twice")
def step_twice(context, seed):
    context.reports = [run_control_seed(seed) for _ in range(2)]


@then("control simulation runs were equal and met grants, requests and moves")
def step_equal(context):
    first, second = context.reports
    assert first == second, (first, second)
    assert min(first.grants, first.begun, first.moves) > 0, first


@when("control simulation runs without faults")
def step_calm(context):
    context.report = run_control_seed(context.seed, ControlPlan(NODES, SERVERS, ()))


@when("control simulation runs with a planned stop of the leader")
def step_stop(context):
    faults = (DrawnFault(FaultKind.LEADER_STOPPED, 1.0, 3.0),)
    context.report = run_control_seed(context.seed, ControlPlan(NODES, SERVERS, faults))
    assert context.report.epochs > 1, context.report


@when("control simulation loses a server some time after orders were left unanswered")
def step_lost_later(context):
    faults = (
        DrawnFault(FaultKind.ORDERS_UNANSWERED, 9.0, 4.0),
        DrawnFault(FaultKind.SERVER_CRASHED, 16.0, 0.0),
    )
    context.report = run_control_seed(context.seed, ControlPlan(NODES, SERVERS, faults))


@when("control simulation kills the leader while orders are late")
def step_leader_killed_late(context):
    run_while_late(context, DrawnFault(FaultKind.LEADER_KILLED, 4.0, 12.0))


@when("control simulation kills all gateways while orders are late")
def step_all_killed_late(context):
    run_while_late(context, DrawnFault(FaultKind.ALL_NODES_KILLED, 4.0, 0.5))


@when("control simulation kills all gateways after an outage under a longest hold of {hold_s:d} s")
def step_killed_after_outage(context, hold_s):
    """The leader grants for the longest time meanwhile; one server goes dark before the kill."""
    silent = DrawnFault(FaultKind.STORE_SILENT, 0.0, 4.0)
    dark = DrawnFault(FaultKind.SERVER_DARK, 3.8, hold_s)
    kill = DrawnFault(FaultKind.ALL_NODES_KILLED, 3.9, 0.5)
    plan = ControlPlan(NODES, SERVERS, (silent, dark, kill), float(hold_s))
    context.reports = [run_control_seed(seed, plan) for seed in OUTAGE_SEEDS]


@when("control simulation loses a server and all gateways together")
def step_server_lost_with_all(context):
    faults = (
        DrawnFault(FaultKind.SERVER_CRASHED, 16.9, 0.0),
        DrawnFault(FaultKind.ALL_NODES_KILLED, 17.0, 1.0),
    )
    context.report = run_control_seed(context.seed, ControlPlan(NODES, SERVERS, faults))


@when("control simulation loses a server and the leader together")
def step_server_lost_with_leader(context):
    faults = (
        DrawnFault(FaultKind.SERVER_CRASHED, 16.9, 0.0),
        DrawnFault(FaultKind.LEADER_KILLED, 17.0, 1.0),
    )
    context.report = run_control_seed(context.seed, ControlPlan(NODES, SERVERS, faults))


@when("control simulation cuts the leader off with servers that only it reaches")
def step_leader_cut_off(context):
    servers = [DrawnFault(FaultKind.SERVER_CUT_FROM_NODE, 2.9, 13.0)] * CUTS
    leader = (
        DrawnFault(FaultKind.LEADER_CUT_FROM_STORE, 3.0, 13.0),
        DrawnFault(FaultKind.LEADER_CUT_FROM_PEERS, 3.0, 13.0),
    )
    plan = ControlPlan(NODES, CUT_SERVERS, (*servers, *leader))
    context.reports = [run_control_seed(seed, plan) for seed in LATE_SEEDS]


def run_while_late(context, kill):
    """Kill gateways when grants are under way that come late, one to a server that goes dark."""
    late = DrawnFault(FaultKind.ORDERS_ALL_LATE, 3.5, 0.55)
    dark = DrawnFault(FaultKind.SERVER_DARK, 3.95, 13.9)
    plan = ControlPlan(NODES, SERVERS, (late, dark, kill))
    context.reports = [run_control_seed(seed, plan) for seed in LATE_SEEDS]


@then("control simulation found nothing in any of the runs")
def step_nothing_in_any(context):
    found = [each.text() for each in context.reports if not each.is_ok]
    assert not found, "\n".join(found)


@then("control simulation served all keys within {limit_s:d} s of the end of the faults")
def step_served_soon(context, limit_s):
    served_again_s = context.report.served_again_s
    assert served_again_s is not None and served_again_s < limit_s, context.report


@then("control simulation found nothing")
def step_nothing(context):
    assert context.report.is_ok, context.report.text()


@then("control simulation moved ranges because of load")
def step_moved(context):
    # The first table is one; every other one of a calm run moves keys or tidies after a move.
    assert context.report.moves > 2, context.report


@then("control simulation had one leader")
def step_one_leader(context):
    assert context.report.epochs == 1, context.report


@when('control simulation runs with the broken rule "{rule}"')
def step_broken(context, rule):
    context.catch = control_catch(BROKEN_CONTROL_RULES[rule])


@then("control simulation caught it and passed the sound rule on the same seed")
def step_caught(context):
    assert context.catch.is_shown, context.catch


@then("control simulation scenarios name all broken rules")
def step_all_named(context):
    files = FEATURES.glob("control_simulation_broken_*.feature")
    text = "".join(each.read_text() for each in files)
    missing = [rule for rule in BROKEN_CONTROL_RULES if f"| {rule} " not in text]
    assert not missing, missing
