"""Plays drawn runs of gateways without a path to servers and prints a line for each."""

import sys

import fire

from indigoworks_lab.crash_simulation.explore_paths import PathRun, run_paths


def main() -> None:
    """Run from the command line."""
    fire.Fire(_explore_and_exit, name="explore-paths")


def _explore_and_exit(seeds: int = 20, first: int = 0) -> None:
    """Play `seeds` runs from seed `first` on; exit code 1 where one broke a rule."""
    broken = 0
    for seed in range(first, first + seeds):
        run = run_paths(seed)
        broken += bool(run.breaches())
        print(_line(run), flush=True)
    print(f"{seeds} runs, {broken} with breaches")
    sys.exit(1 if broken else 0)


def _line(run: PathRun) -> str:
    verdict = ", ".join(run.breaches()) or "nothing broke"
    shares = f"served {run.at_cut:.2f}, others {run.at_others:.2f}, after {run.after:.2f}"
    return f"seed {run.seed}: {verdict}; {run.way.value}, {run.cut} of {run.gateways} cut; {shares}"


if __name__ == "__main__":
    main()
