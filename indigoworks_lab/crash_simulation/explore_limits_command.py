"""Plays drawn runs of servers that name limits, and prints a line for each."""

import sys

import fire

from indigoworks_lab.crash_simulation.explore_limits import LimitRun, run_limits
from indigoworks_lab.crash_simulation.explore_told import run_told

SERVED_SHARE = 0.9
"""So many of those who come back as told are to be served."""

FEWEST = 20
"""Runs in which fewer came back say nothing."""


def main() -> None:
    """Run from the command line."""
    fire.Fire(_explore_and_exit, name="explore-limits")


def _explore_and_exit(
    seeds: int = 20, first: int = 0, told: bool = False, zone_cuts: bool = False
) -> None:
    """Play `seeds` runs from seed `first` on; exit code 1 where a server got more than it takes.

    :param told: callers come back when they are told; exit code 1 where too few are served then.
    :param zone_cuts: zones do not hear each other for a while, under load.
    """
    numbers = range(first, first + seeds)
    sys.exit(1 if (_play_told(numbers) if told else _play_limits(numbers, zone_cuts)) else 0)


def _play_told(seeds: range) -> int:
    """Return the number of runs in which too few of those who came back as told were served."""
    broken = 0
    for seed in seeds:
        run = run_told(seed)
        is_broken = run.came >= FEWEST and run.served < SERVED_SHARE * run.came
        broken += is_broken
        print(
            f"seed {seed}: {'BROKEN' if is_broken else 'ok'}; {run.factor:.1f} times the limit; "
            f"{run.served} of {run.came} served as told; {run.refusals:.2f} refusals a caller; "
            f"answers after {run.mean_s:.1f} s, {run.worst_s:.1f} s at most",
            flush=True,
        )
    print(f"{len(seeds)} runs, {broken} in which too few were served as told")
    return broken


def _play_limits(seeds: range, has_zone_cuts: bool) -> int:
    """Return the number of runs in which a server got more than it takes."""
    broken = 0
    for seed in seeds:
        run = run_limits(seed, has_zone_cuts)
        broken += bool(run.report.breaches)
        print(_line(seed, run), flush=True)
    print(f"{len(seeds)} runs, {broken} in which a server got more than it takes")
    return broken


def _line(seed: int, run: LimitRun) -> str:
    report = run.report
    verdict = f"BROKEN {report.breaches[:2]}" if report.breaches else "ok"
    limits = f"{report.limited} servers named limits, {report.told} gateways were told"
    return (
        f"seed {seed}: {verdict}; {limits}; {report.checked} requests of these; "
        f"{run.served} of {run.tries} tries served"
    )


if __name__ == "__main__":
    main()
