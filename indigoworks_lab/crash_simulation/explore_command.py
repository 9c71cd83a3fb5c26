"""Plays drawn runs of harmful requests and prints a line for each."""

import sys

import fire

from indigoworks_lab.crash_simulation.explore import run_seed
from indigoworks_lab.crash_simulation.harm_checker import HarmReport


def main() -> None:
    """Run from the command line."""
    fire.Fire(_explore_and_exit, name="explore-harm")


def _explore_and_exit(
    seeds: int = 20,
    first: int = 0,
    many_callers: bool = False,
    zone_cuts: bool = False,
    small: bool = False,
) -> None:
    """Play `seeds` runs from seed `first` on; exit code 1 where one broke the bound.

    :param many_callers: tries of one request come from many callers.
    :param zone_cuts: zones do not hear each other while a request comes many times a second.
    :param small: one service has one or two servers, and there are no others.
    """
    broken = 0
    for seed in range(first, first + seeds):
        report = run_seed(seed, many_callers, zone_cuts, small)
        broken += bool(report.violations())
        print(_line(seed, report), flush=True)
    print(f"{seeds} runs, {broken} with a request beyond the bound")
    sys.exit(1 if broken else 0)


def _line(seed: int, report: HarmReport) -> str:
    verdict = f"BROKEN {', '.join(report.violations())}" if report.violations() else "ok"
    ended = ", ".join(
        f"{path} {count} ({report.later[path]} late)" for path, count in report.ended.items()
    )
    innocents = f"{report.refused_innocents} of {report.tries} other tries refused"
    return f"seed {seed}: {verdict}; servers ended: {ended}; {innocents}"


if __name__ == "__main__":
    main()
