"""Runs many seeds and prints what breaks a rule."""

import sys
import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import as_completed

import fire

from indigoworks_lab.control_simulation.control_plan import (
    ControlPlan,
    draw_plan,
    with_lost_paths,
    with_returns,
)
from indigoworks_lab.control_simulation.control_report import ControlReport
from indigoworks_lab.control_simulation.control_trace import trace_seed
from indigoworks_lab.control_simulation.machine_plan import with_machines
from indigoworks_lab.control_simulation.run_control_seed import run_control_seed
from indigoworks_lab.simulation.worker_processes import worker_processes

EXIT_FOUND = 1
PROGRESS_SEEDS = 100


def explore(
    seeds: int = 20,
    first: int = 1,
    jobs: int = 2,
    trace: int = 0,
    returns: bool = True,
    machines: float = 0.0,
    lost_paths: bool = False,
) -> int:
    """Run seeds and print those that broke a rule, with their faults.

    :param seeds: number of seeds.
    :param first: the first seed.
    :param jobs: processes to run in.
    :param trace: run only this seed and print the log of all nodes with the virtual time.
    :param returns: the store also comes back from a copy; without, the other faults are the same.
    :param machines: clocks, processes and servers do not run evenly; servers pause for at most so
        many seconds; 0: they all do.
    :param lost_paths: nodes, the leader among them, also lose their path to all servers.
    :returns: exit code: 0 nothing found, 1 found.
    """
    if trace:
        report = trace_seed(trace, draw(trace, returns, machines, lost_paths))
        print(report.text())
        return 0 if report.is_ok else EXIT_FOUND
    started_s = time.monotonic()
    reports: list[ControlReport] = []
    for report in _reports(range(first, first + seeds), jobs, returns, machines, lost_paths):
        reports.append(report)
        if not report.is_ok:
            print(report.text(), flush=True)
        if len(reports) % PROGRESS_SEEDS == 0:
            print(f"{len(reports)} seeds run", flush=True)
    print(_summary(reports, time.monotonic() - started_s))
    return EXIT_FOUND if any(not report.is_ok for report in reports) else 0


def draw(seed: int, returns: bool, machines: float = 0.0, lost_paths: bool = False) -> ControlPlan:
    """Return the plan of a seed."""
    plan = draw_plan(seed)
    if lost_paths:
        plan = with_lost_paths(plan, seed)
    if returns:
        plan = with_returns(plan, seed)
    return with_machines(plan, seed, machines) if machines else plan


def _reports(
    seeds: range, jobs: int, returns: bool, machines: float, lost_paths: bool
) -> Iterator[ControlReport]:
    if jobs <= 1:
        for seed in seeds:
            yield run_control_seed(seed, draw(seed, returns, machines, lost_paths))
        return
    with worker_processes(jobs) as workers:
        running = [
            workers.submit(run_control_seed, seed, draw(seed, returns, machines, lost_paths))
            for seed in seeds
        ]
        for done in as_completed(running):
            yield done.result()


def _summary(reports: list[ControlReport], took_s: float) -> str:
    faults = Counter(fault.kind.value for report in reports for fault in report.plan.faults)
    found = Counter(
        checker
        for report in reports
        for checker in {
            *(each.checker for each in report.violations),
            *("failure" for _ in report.failures),
        }
    )
    times_s = sorted(each.served_again_s for each in reports if each.served_again_s is not None)
    middle_s = times_s[len(times_s) // 2] if times_s else float("nan")
    lines = [
        f"seeds: {len(reports)} in {took_s:.0f} s; with findings:"
        f" {sum(not report.is_ok for report in reports)}",
        f"findings by checker (seeds): {dict(sorted(found.items()))}",
        f"grants {sum(each.grants for each in reports)}, requests begun"
        f" {sum(each.begun for each in reports)}, tables written"
        f" {sum(each.moves for each in reports)}, epochs {sum(each.epochs for each in reports)}",
        f"all keys served after the end of the faults: {len(times_s)} seeds, median"
        f" {middle_s:.2f} s, longest {max(times_s, default=float('nan')):.2f} s",
        f"faults: {dict(sorted(faults.items()))}",
    ]
    return "\n".join(lines)


def main() -> None:
    """Run from the command line."""
    fire.Fire(_explore_and_exit, name="explore-control")


def _explore_and_exit(
    seeds: int = 20,
    first: int = 1,
    jobs: int = 2,
    trace: int = 0,
    returns: bool = True,
    machines: float = 0.0,
    lost_paths: bool = False,
) -> None:
    sys.exit(explore(seeds, first, jobs, trace, returns, machines, lost_paths))


if __name__ == "__main__":
    main()
