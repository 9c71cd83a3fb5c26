"""Formatter of behave that prints one line a scenario and records its outcome."""

from pathlib import Path
from typing import Any

from behave.formatter.base import Formatter

from indigoworks_lab.test_report.recorded_result import PASSED, RecordedResult

RESULTS_FILE_OPTION = "results_file"
"""User data of behave (-D results_file=PATH): file to which the results are appended."""


class ScenarioFormatter(Formatter):  # type: ignore[misc]  # behave carries no types
    """Prints and records every scenario once its feature has ended.

    A scenario that was skipped, or has a step without a definition, is recorded as such and
    therefore counts as failed.
    """

    name = "scenarios"
    description = "One line a scenario; outcomes appended to a results file"

    def __init__(self, stream_opener: Any, config: Any) -> None:
        """Take behave's stream and configuration."""
        super().__init__(stream_opener, config)
        self._stream = self.open()
        results_file = config.userdata.get(RESULTS_FILE_OPTION)
        self._results_file = Path(results_file) if results_file else None
        self._feature: Any = None

    def feature(self, feature: Any) -> None:
        """Remember the feature that begins."""
        self._feature = feature

    def eof(self) -> None:
        """Report the scenarios of the feature that has ended."""
        for scenario in self._feature.walk_scenarios():
            self._report(scenario)
        self._stream.flush()

    def _report(self, scenario: Any) -> None:
        status = scenario.status.name
        result = RecordedResult(status, f"{self._feature.filename}: {scenario.name.strip()}")
        self._stream.write(f"{status:8} {result.name} ({scenario.duration:.2f} s)\n")
        if status != PASSED:
            self._write_details(scenario)
        if self._results_file is not None:
            with self._results_file.open("a", encoding="utf-8") as results:
                results.write(result.to_line())

    def _write_details(self, scenario: Any) -> None:
        if scenario.error_message:
            self._stream.write(f"{scenario.error_message}\n")
        for step in scenario.all_steps:
            if step.status.name == PASSED:
                continue
            self._stream.write(f"    {step.status.name}: {step.keyword} {step.name}")
            self._stream.write(f" ({step.location})\n")
            if step.error_message:
                self._stream.write(f"{step.error_message}\n")
