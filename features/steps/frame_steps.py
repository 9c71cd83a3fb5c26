"""Steps about the frame of the repository: the verdict of a run and the house rules."""

import io
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Callable
from contextlib import redirect_stdout
from pathlib import Path

from behave import given, then, when

from indigoworks_lab.test_report.__main__ import main as print_verdict
from indigoworks_lab.test_report.recorded_result import RecordedResult

REPOSITORY = Path(__file__).resolve().parents[2]
HOUSE_CHECK = REPOSITORY / "scripts" / "check-house"
KEPT_LINES = 30
MACHINE_PATH = "/".join(("", "work", "x"))


def _scratch_directory(context) -> Path:
    directory = Path(tempfile.mkdtemp())
    context.add_cleanup(shutil.rmtree, directory)
    return directory


def _write_results(context, lines: list[str]) -> None:
    context.frame_directory = _scratch_directory(context)
    (context.frame_directory / "results").write_text("".join(lines))


@given("the frame results")
def frame_results(context):
    lines = [RecordedResult(row["status"], row["name"]).to_line() for row in context.table]
    _write_results(context, lines)


@given("no frame results")
def no_frame_results(context):
    _write_results(context, [])


@given("no frame list of known failures")
def no_known_failures(context):
    assert not (context.frame_directory / "KNOWN-RED.txt").exists()


@given("the frame list of known failures")
def known_failures(context):
    (context.frame_directory / "KNOWN-RED.txt").write_text(context.text)


@given('the frame list of known failures, beside {kind} "{path}"')
def known_failures_beside(context, kind, path):
    known_failures(context)
    script = context.frame_directory / path
    script.parent.mkdir(parents=True, exist_ok=True)
    script.write_text("")
    script.chmod(0o755 if kind == "an executable" else 0o644)


@when("the frame verdict is printed")
def verdict_printed(context):
    output = io.StringIO()
    names = ("results", "KNOWN-RED.txt")
    with redirect_stdout(output):
        context.frame_exit_code = print_verdict(
            [str(context.frame_directory / name) for name in names]
        )
    context.frame_lines = output.getvalue().splitlines()


@then("the frame verdict is accepted")
def verdict_accepted(context):
    assert context.frame_exit_code == 0, context.frame_lines


@then("the frame verdict is not accepted")
def verdict_not_accepted(context):
    assert context.frame_exit_code == 1, context.frame_lines


@then('the last frame line is "{line}"')
def last_line(context, line):
    assert context.frame_lines[-1] == line, context.frame_lines


@then('the frame lines contain "{line}"')
def lines_contain(context, line):
    assert line in context.frame_lines, context.frame_lines


@given("a frame repository that keeps the rules")
def sound_repository(context):
    root = _scratch_directory(context)
    context.frame_root = root
    subprocess.run(["git", "init", "--quiet", str(root)], check=True)
    _write(root / "indigoworks" / "code.py", KEPT_LINES)
    _write(root / "features" / "a.feature", 1)
    pages = ("README.md", "CONTRIBUTING.md", "LICENSE", "docs/design/README.md")
    names = ("API", "CAPACITY", "GLOSSARY", "GUARANTEES", "OPERATIONS")
    for page in (*pages, *(f"docs/{name}.md" for name in names)):
        _write(root / page, 1)
    for script in (".ci/run", "scripts/demo", "scripts/generate-protocol", "scripts/test"):
        _write(root / script, 1)
        (root / script).chmod(0o755)


def _write(path: Path, line_count: int) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text("line\n" * line_count)


BREACHES: dict[str, Callable[[Path], object]] = {
    "a file of 301 lines": lambda root: _write(root / "code.py", 301),
    "a path of one machine": lambda root: (root / "page.md").write_text(MACHINE_PATH),
    "more lines of tests than of product": lambda root: _write(
        root / "features" / "b.py", KEPT_LINES + 1
    ),
    "no README.md": lambda root: (root / "README.md").unlink(),
    "a scripts/test without the run bit": lambda root: (root / "scripts/test").chmod(0o644),
    "a link that leads nowhere": lambda root: (root / "README.md").write_text("[a](gone.md)"),
    "a design page that is not listed": lambda root: _write(root / "docs/design/new.md", 1),
}


@given("the frame repository has {breach}")
def repository_has(context, breach):
    BREACHES[breach](context.frame_root)


@when("the frame house check runs")
def house_check_runs(context):
    context.frame_check = subprocess.run(
        [sys.executable, str(HOUSE_CHECK), str(context.frame_root)],
        capture_output=True,
        text=True,
        check=False,
    )


@then("the frame house check passes")
def house_check_passes(context):
    assert context.frame_check.returncode == 0, context.frame_check.stdout


@then('the frame house check fails and names "{text}"')
def house_check_fails(context, text):
    assert context.frame_check.returncode == 1, context.frame_check.stderr
    lines = context.frame_check.stdout.splitlines()
    assert len(lines) == 1, lines
    assert text in lines[0], lines
