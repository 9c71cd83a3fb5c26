"""Plays drawn runs of servers that name limits, and prints a line for each."""

import sys

import fire

from indigoworks_lab.crash_simulation.explore_limits import LimitRun, run_limits


def main() -> None:
    """Run from the command line."""
    fire.Fire(_explore_and_exit, name="explore-limits")


def _explore_and_exit(seeds: int = 20, first: int = 0) -> None:
    """Play `seeds` runs from seed `first` on; exit code 1 where a server got more than it takes."""
    broken = 0
    for seed in range(first, first + seeds):
        run = run_limits(seed)
        broken += bool(run.report.breaches)
        print(_line(seed, run), flush=True)
    print(f"{seeds} runs, {broken} in which a server got more than it takes")
    sys.exit(1 if broken else 0)


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
