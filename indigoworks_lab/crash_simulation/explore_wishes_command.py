"""Plays drawn runs of servers that ask for rest or leave, and prints a line for each."""

import sys

import fire

from indigoworks_lab.crash_simulation.explore_wishes import WishRun, run_wishes


def main() -> None:
    """Run from the command line."""
    fire.Fire(_explore_and_exit, name="explore-wishes")


def _explore_and_exit(seeds: int = 20, first: int = 0) -> None:
    """Play `seeds` runs from seed `first` on; exit code 1 where a wish was not heeded."""
    broken = 0
    for seed in range(first, first + seeds):
        run = run_wishes(seed)
        broken += run.is_broken()
        print(_line(seed, run), flush=True)
    print(f"{seeds} runs, {broken} with a wish that was not heeded")
    sys.exit(1 if broken else 0)


def _line(seed: int, run: WishRun) -> str:
    report = run.report
    verdict = "BROKEN" if run.is_broken() else "ok"
    rests = f"{report.rests} rests asked for, {report.in_rest} not heeded"
    leavings = f"{report.leavings} leavings told, {report.after_leaving} requests too late"
    return f"seed {seed}: {verdict}; {rests}; {leavings}; {run.served} of {run.tries} tries served"


if __name__ == "__main__":
    main()
