"""Print the verdict on a results file: python -m indigoworks_lab.test_report RESULTS KNOWN_RED.

The last line printed is `N passed, N failed`. Exit codes: 0 accepted, 1 not accepted, 2 misuse.
"""

import sys
from pathlib import Path

from indigoworks_lab.test_report.known_failure import KnownFailure, read_known_failures
from indigoworks_lab.test_report.recorded_result import RecordedResult, read_results
from indigoworks_lab.test_report.verdict import Verdict, judge

_ARGUMENTS = 2
_ACCEPTED = 0
_NOT_ACCEPTED = 1
_MISUSE = 2


def main(arguments: list[str]) -> int:
    """Print the verdict and return the exit code."""
    if len(arguments) != _ARGUMENTS:
        print("usage: python -m indigoworks_lab.test_report RESULTS KNOWN_RED", file=sys.stderr)
        return _MISUSE
    results = read_results(Path(arguments[0]))
    list_path = Path(arguments[1])
    verdict = judge(results, _known_failures(list_path, results), list_path.parent)
    _print_verdict(verdict)
    return _ACCEPTED if verdict.is_accepted else _NOT_ACCEPTED


def _known_failures(path: Path, results: list[RecordedResult]) -> list[KnownFailure]:
    """Return the list; a list that cannot be read is added to the results as a failure."""
    try:
        return read_known_failures(path)
    except ValueError as error:
        results.append(RecordedResult("failed", f"list of known failures: {error}"))
        return []


def _print_verdict(verdict: Verdict) -> None:
    for name in verdict.unexpected:
        print(f"FAILED {name}")
    for known in verdict.known:
        print(f"known red: {known.test} | {known.command} | {known.seen} | {known.issue}")
    for known in verdict.repaired:
        print(f"passes, to be taken off KNOWN-RED.txt: {known.test}")
    for known in verdict.left_out:
        print(f"known red, not run here: {known.test} | {known.command} | {known.issue}")
    for known in verdict.stale:
        print(f"FAILED KNOWN-RED.txt lists a test that this run does not have: {known.test}")
    print(f"{verdict.passed_count} passed, {verdict.failed_count} failed")


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
