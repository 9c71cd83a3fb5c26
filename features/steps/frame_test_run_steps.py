"""Steps about the runner of feature files: small features of their own, run for real."""

import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when

REPOSITORY = Path(__file__).resolve().parents[2]
MISUSE = 2

STEPS_OF_THE_FEATURES = """
import os
from pathlib import Path
from behave import step

EVENTS = Path(__file__).parent / "events"

@step("it passes")
def passes(context):
    pass

@step("it fails")
def fails(context):
    raise AssertionError("as planned")

@step("its process dies")
def dies(context):
    os._exit(3)

@step("it tells the time")
def tells(context):
    for event in ("begins", "ends"):
        with EVENTS.open("a") as events:
            events.write(f"{Path(context.feature.filename).stem} {event}\\n")
"""


@given("the test run features")
def features_written(context):
    context.test_run_folder = Path(tempfile.mkdtemp())
    context.add_cleanup(shutil.rmtree, context.test_run_folder)
    context.test_run_results = []
    steps = context.test_run_folder / "steps"
    steps.mkdir()
    (steps / "own_steps.py").write_text(STEPS_OF_THE_FEATURES)
    for row in context.table:
        tag = row.get("tag", "")
        text = f"{tag}\nFeature: {row['name']}\n  Scenario: one\n    Given {row['step']}\n"
        _feature_path(context, row["name"]).write_text(text)


@when("the test run takes place with {count:d} process")
@when("the test run takes place with {count:d} processes")
def run_takes_place(context, count):
    results = context.test_run_folder / f"results-{count}"
    run = _run("--jobs", str(count), "--results", str(results), str(context.test_run_folder))
    assert run.returncode == 0, run.stdout
    context.test_run_results.append(results.read_text().splitlines())


@when("the test run is asked for a feature that does not exist")
def run_of_nothing(context):
    results = context.test_run_folder / "results"
    absent = str(_feature_path(context, "absent"))
    context.test_run_exit_code = _run("--results", str(results), absent).returncode


@then("both test runs recorded the same lines")
def same_lines(context):
    first, second = context.test_run_results
    assert first == second, (first, second)


@then('the test run recorded "{status}" for the scenario of "{name}"')
def recorded_for_scenario(context, status, name):
    # behave names a file by its way from the folder that it runs in.
    file_name = _feature_path(context, name).name
    found = [line for line in _last_lines(context) if line.endswith(f"/{file_name}: one")]
    assert [line.partition("\t")[0] for line in found] == [status], _last_lines(context)


@then("the test run recorded {count:d} lines")
def recorded_lines(context, count):
    assert len(_last_lines(context)) == count, _last_lines(context)


@then('the test run recorded that the process of "{name}" failed')
def recorded_process(context, name):
    line = f"failed\t{_feature_path(context, name)}: ran no scenario (exit code 3)"
    assert line in _last_lines(context), _last_lines(context)


@then('"{name}" began in the test run after all others had ended')
def began_last(context, name):
    events = (context.test_run_folder / "steps" / "events").read_text().splitlines()
    others = [index for index, event in enumerate(events) if not event.startswith(f"{name} ")]
    assert len(others) == 4, events
    assert events.index(f"{name} begins") > max(others), events


@then("the test run ends as misused")
def ends_as_misused(context):
    assert context.test_run_exit_code == MISUSE


def _run(*arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "indigoworks_lab.test_run", *arguments]
    return subprocess.run(command, cwd=REPOSITORY, capture_output=True, text=True)


def _feature_path(context, name: str) -> Path:
    return context.test_run_folder / f"{name}.feature"


def _last_lines(context) -> list[str]:
    return context.test_run_results[-1]
