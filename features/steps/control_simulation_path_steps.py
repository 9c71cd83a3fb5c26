"""Steps in which simulated nodes lose their path to all servers."""

from behave import then, when

from indigoworks_lab.control_simulation.control_plan import draw_plan, with_lost_paths
from indigoworks_lab.control_simulation.fault_kind import PATH_KINDS
from indigoworks_lab.control_simulation.measure_waits import measure
from indigoworks_lab.control_simulation.run_control_seed import run_control_seed

CASES = {
    "the leader": "leader-without-path",
    "most nodes": "most-without-path",
    "whoever leads, each second,": "leader-path-flaps",
}
SEEDS = (1, 2, 3)
NODES, SERVERS, REQUESTS_PER_S = 6, 8, 10.0
FIRST_DRAWN = 60_000


@when("the waits of keys are measured in simulated runs of {case} without a path")
def measure_case(context, case):
    context.wait_runs = [
        measure(CASES[case], seed, NODES, SERVERS, REQUESTS_PER_S) for seed in SEEDS
    ]


@then("no key that a remaining node reaches waited for more than {limit_s:g} s in any of them")
def no_long_wait(context, limit_s):
    for run in context.wait_runs:
        assert not run.findings, run.findings
        longest_s = max((each.unheld_s for each in run.waits), default=0.0)
        assert longest_s <= limit_s, (run.seed, longest_s)


@when("control simulation runs {count:d} seeds with drawn losses of paths to servers")
def drawn_losses(context, count):
    seeds = range(FIRST_DRAWN, FIRST_DRAWN + count)
    plans = [with_lost_paths(draw_plan(seed), seed) for seed in seeds]
    assert all(any(each.kind in PATH_KINDS for each in plan.faults) for plan in plans)
    context.reports = [
        run_control_seed(seed, plan) for seed, plan in zip(seeds, plans, strict=True)
    ]
