"""Run features in several processes: python -m indigoworks_lab.test_run --help.

Prints what behave printed, feature by feature as they end, and the slowest features; appends one
line a scenario to the results file. Exit codes: 0 the features were run (the verdict is
`indigoworks_lab.test_report`'s), 2 misuse.
"""

import argparse
import asyncio
import os
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path

from indigoworks_lab.test_run.feature_file import read_features, read_lengths, write_lengths
from indigoworks_lab.test_run.feature_outcome import FeatureOutcome
from indigoworks_lab.test_run.feature_runner import FeatureRunner

FEATURES_FOLDER = "features"
LENGTHS_FILE = Path(FEATURES_FOLDER) / "lengths.json"
SLOWEST_SHOWN = 10

_RAN = 0
_MISUSE = 2


def main(arguments: Sequence[str]) -> int:
    """Run the features and return the exit code."""
    options, behave_options = _parser().parse_known_args(arguments)
    lengths_s = read_lengths(LENGTHS_FILE)
    try:
        features = read_features(options.names or [FEATURES_FOLDER], lengths_s)
    except FileNotFoundError as error:
        print(f"No feature file or folder: {error}. Name one below features/.", file=sys.stderr)
        return _MISUSE
    with tempfile.TemporaryDirectory() as folder:
        runner = FeatureRunner(options.jobs, behave_options, Path(folder), _print_outcome)
        outcomes = asyncio.run(runner.run(features))
    with options.results.open("a", encoding="utf-8") as results_file:
        for outcome in outcomes:
            results_file.writelines(result.to_line() for result in outcome.results)
    if options.write_lengths:
        measured_s = {outcome.name: outcome.length_s for outcome in outcomes}
        write_lengths(LENGTHS_FILE, lengths_s | measured_s)
    _print_slowest(outcomes)
    return _RAN


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="scripts/test",
        description="Run features in several processes; options not listed go to behave.",
    )
    parser.add_argument("names", nargs="*", help="feature files (FILE or FILE:LINE) or folders")
    half_of_the_cores = max(1, (os.cpu_count() or 1) // 2)
    parser.add_argument("--jobs", type=_positive, default=half_of_the_cores, metavar="N")
    parser.add_argument("--results", type=Path, required=True, help="file to append results to")
    parser.add_argument(
        "--write-lengths", action="store_true", help=f"write measured lengths to {LENGTHS_FILE}"
    )
    return parser


def _positive(text: str) -> int:
    number = int(text)
    if number < 1:
        raise argparse.ArgumentTypeError("at least 1 process is needed")
    return number


def _print_outcome(outcome: FeatureOutcome) -> None:
    print(outcome.output, end="", flush=True)


def _print_slowest(outcomes: Sequence[FeatureOutcome]) -> None:
    print(f"== slowest features, seconds with {len(outcomes)} run")
    slowest = sorted(outcomes, key=lambda outcome: -outcome.length_s)[:SLOWEST_SHOWN]
    for outcome in slowest:
        print(f"{outcome.length_s:8.1f} {outcome.name}")


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
