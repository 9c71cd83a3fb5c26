"""Steps that run the simulation of the control code with the longest renewal interval."""

from contextlib import contextmanager

from behave import then, when

from indigoworks.ownership import renewal_schedule
from indigoworks_lab.control_simulation.control_plan import ControlPlan, draw_plan, with_returns
from indigoworks_lab.control_simulation.run_control_seed import run_control_seed

NODES, SERVERS = 3, 4


@contextmanager
def longest_interval():
    """Renew at the longest interval from the second range on: simulated leaders have few ranges."""
    before = renewal_schedule.RANGES_PER_STEP
    renewal_schedule.RANGES_PER_STEP = 1
    try:
        yield
    finally:
        renewal_schedule.RANGES_PER_STEP = before


@when("control simulation runs without faults, with the shortest and the longest renewal interval")
def step_calm(context):
    plan = ControlPlan(NODES, SERVERS, ())
    shortest = run_control_seed(context.seed, plan)
    with longest_interval():
        longest = run_control_seed(context.seed, plan)
    context.reports = [shortest, longest]


@then("the run with the longest interval sent at most half as many grants")
def step_fewer(context):
    shortest, longest = context.reports
    assert 0 < longest.grants <= shortest.grants / 2, (longest.grants, shortest.grants)


@when(
    "control simulation draws faults for seeds {first:d} to {last:d} with the longest renewal"
    " interval"
)
def step_drawn(context, first, last):
    with longest_interval():
        context.reports = [
            run_control_seed(seed, with_returns(draw_plan(seed), seed))
            for seed in range(first, last + 1)
        ]
