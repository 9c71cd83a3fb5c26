"""What the run of one feature file gave."""

from collections.abc import Sequence
from dataclasses import dataclass

from indigoworks_lab.test_report.recorded_result import RecordedResult

FAILED = "failed"


@dataclass(frozen=True)
class FeatureOutcome:
    """Outcome of the process that ran one feature file.

    :ivar name: the feature file.
    :ivar results: one result a scenario, and one for the process if it ended wrongly.
    :ivar length_s: seconds that the process ran.
    :ivar output: what it printed.
    """

    name: str
    results: tuple[RecordedResult, ...]
    length_s: float
    output: str


def judge_process(
    name: str, exit_code: int, recorded: Sequence[RecordedResult]
) -> tuple[RecordedResult, ...]:
    """Return the results to be counted for a feature whose process ended with `exit_code`.

    A process that died, or could not load its steps, recorded nothing and must not pass unseen.
    """
    if not recorded:
        return (RecordedResult(FAILED, f"{name}: ran no scenario (exit code {exit_code})"),)
    if exit_code != 0 and all(each.is_passed for each in recorded):
        text = f"{name}: ended with exit code {exit_code} though every scenario passed"
        return (*recorded, RecordedResult(FAILED, text))
    return tuple(recorded)
