"""The verdict of a test run from its results and the list of known failures."""

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from indigoworks_lab.test_report.known_failure import KnownFailure
from indigoworks_lab.test_report.recorded_result import RecordedResult


@dataclass(frozen=True)
class Verdict:
    """Counts of a run and what is to be said about it.

    :ivar failed_count: all failures, known ones included.
    :ivar unexpected: names of the failures that are not on the list of known failures.
    :ivar known: listed failures that did fail.
    :ivar repaired: listed tests that pass; their lines are to be taken off the list.
    :ivar left_out: listed scripts, which the default run leaves out.
    :ivar stale: listed tests that the run does not have.
    """

    passed_count: int
    failed_count: int
    unexpected: tuple[str, ...]
    known: tuple[KnownFailure, ...]
    repaired: tuple[KnownFailure, ...]
    left_out: tuple[KnownFailure, ...]
    stale: tuple[KnownFailure, ...]

    @property
    def is_accepted(self) -> bool:
        """Tell whether the run may land: something passed, and nothing failed but known ones."""
        return self.passed_count > 0 and not self.unexpected and not self.stale


def judge(
    results: Sequence[RecordedResult], known_failures: Sequence[KnownFailure], folder: Path
) -> Verdict:
    """Return the verdict on `results`.

    :param folder: to which the paths of listed scripts are relative.
    """
    failed = [result.name for result in results if not result.is_passed]
    names = {result.name for result in results}
    listed = {known.test for known in known_failures}
    present = [known for known in known_failures if known.test in names]
    absent = [known for known in known_failures if known.test not in names]
    return Verdict(
        passed_count=len(results) - len(failed),
        failed_count=len(failed),
        unexpected=tuple(name for name in failed if name not in listed),
        known=tuple(known for known in present if known.test in failed),
        repaired=tuple(known for known in present if known.test not in failed),
        left_out=tuple(known for known in absent if known.is_script_in(folder)),
        stale=tuple(known for known in absent if not known.is_script_in(folder)),
    )
