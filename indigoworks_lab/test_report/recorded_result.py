"""Outcome of one check or scenario, as kept in the results file of a test run."""

from dataclasses import dataclass
from pathlib import Path

PASSED = "passed"
"""The only status that counts as passed; a skipped or undefined scenario has failed."""

_SEPARATOR = "\t"


@dataclass(frozen=True)
class RecordedResult:
    """One line of the results file: status, tab, name.

    :ivar status: PASSED, or any other word for a failure.
    :ivar name: name of a check, or `path of the feature file: name of the scenario`.
    """

    status: str
    name: str

    @property
    def is_passed(self) -> bool:
        """Tell whether the check or scenario passed."""
        return self.status == PASSED

    def to_line(self) -> str:
        """Return the line of the results file, with its end of line."""
        return f"{self.status}{_SEPARATOR}{self.name}\n"


def read_results(path: Path) -> list[RecordedResult]:
    """Return the results in the file at `path`, in the order of their recording.

    :raises ValueError: a line has no tab.
    """
    results = []
    for line in path.read_text(encoding="utf-8").splitlines():
        status, separator, name = line.partition(_SEPARATOR)
        if not separator:
            raise ValueError(f"line without a tab in the results file: {line!r}")
        results.append(RecordedResult(status, name))
    return results
