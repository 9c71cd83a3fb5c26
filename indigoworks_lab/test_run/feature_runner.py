"""Runs feature files side by side, each in a process of its own."""

import asyncio
import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path

from indigoworks_lab.test_report.recorded_result import read_results
from indigoworks_lab.test_report.scenario_formatter import RESULTS_FILE_OPTION
from indigoworks_lab.test_run.feature_file import FeatureFile
from indigoworks_lab.test_run.feature_outcome import FeatureOutcome, judge_process

FORMATTER = "indigoworks_lab.test_report.scenario_formatter:ScenarioFormatter"


class FeatureRunner:
    """Runs several features at a time, the long ones first, then one by one those that are alone.

    One process a feature: nothing that a scenario leaves behind reaches another feature, and a
    process that dies names the feature that it ran.

    :param jobs: processes at the same time, at least 1.
    :param behave_options: options that each process of behave gets.
    :param work_folder: empty folder for the results of the processes.
    :param on_outcome: called with each outcome as it comes.
    """

    def __init__(
        self,
        jobs: int,
        behave_options: Sequence[str],
        work_folder: Path,
        on_outcome: Callable[[FeatureOutcome], None],
    ) -> None:
        self._jobs = jobs
        self._behave_options = tuple(behave_options)
        self._work_folder = work_folder
        self._on_outcome = on_outcome

    async def run(self, features: Sequence[FeatureFile]) -> list[FeatureOutcome]:
        """Return the outcomes in the order of the features' names."""
        shared = [each for each in features if not each.is_alone]
        alone = [each for each in features if each.is_alone]
        outcomes = await self._run_group(shared, self._jobs)
        outcomes += await self._run_group(alone, 1)
        return sorted(outcomes, key=lambda outcome: outcome.name)

    async def _run_group(self, features: Sequence[FeatureFile], jobs: int) -> list[FeatureOutcome]:
        places = asyncio.Semaphore(jobs)
        longest_first = sorted(features, key=lambda feature: (-feature.length_s, feature.name))
        return await asyncio.gather(*(self._run_one(each, places) for each in longest_first))

    async def _run_one(self, feature: FeatureFile, places: asyncio.Semaphore) -> FeatureOutcome:
        async with places:
            started_s = time.monotonic()
            results_file = self._work_folder / feature.name.replace("/", "_")
            results_file.touch()
            process = await asyncio.create_subprocess_exec(
                *self._command(feature, results_file),
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.STDOUT,
            )
            printed, _ = await process.communicate()
            length_s = time.monotonic() - started_s
        assert process.returncode is not None
        results = judge_process(feature.name, process.returncode, read_results(results_file))
        outcome = FeatureOutcome(feature.name, results, length_s, printed.decode(errors="replace"))
        self._on_outcome(outcome)
        return outcome

    def _command(self, feature: FeatureFile, results_file: Path) -> list[str]:
        return [
            *(sys.executable, "-m", "behave", "--no-color", "--no-summary"),
            *("--format", FORMATTER, "-D", f"{RESULTS_FILE_OPTION}={results_file}"),
            *self._behave_options,
            feature.name,
        ]
