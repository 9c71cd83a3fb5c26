"""Entry point of the command `indigoworks`."""

import io
import os
import sys
from collections.abc import Sequence
from contextlib import redirect_stderr, redirect_stdout, suppress

import fire
from fire.core import FireExit
from result import Err, Ok, Result

from indigoworks.cli.arguments import as_texts, command_path, wants_help
from indigoworks.cli.commands import Commands
from indigoworks.cli.errors import CommandError, Misuse, as_command_error
from indigoworks.cli.exit_code import ExitCode
from indigoworks.cli.pending_command import PendingCommand, Report, run_pending
from indigoworks.common.errors import IndigoworksError

PROGRAM = "indigoworks"


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command line and return its exit code.

    :param arguments: the command line without the program's name; None: `sys.argv`.
    """
    given = list(sys.argv[1:] if arguments is None else arguments)
    outcome = _run(given)
    if isinstance(outcome, Err):
        return _fail(as_command_error(outcome.unwrap_err()))
    if outcome.unwrap():
        _print(outcome.unwrap())
    return ExitCode.DONE


def _print(report: Report) -> None:
    try:
        print(report, flush=True)
    except BrokenPipeError:
        # The reader (such as `head`) closed the pipe; the flush at exit must not fail again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())


def _run(arguments: list[str]) -> Result[Report, IndigoworksError]:
    root = Commands()
    path = command_path(root, arguments)
    if wants_help(arguments):
        return Ok(_help(root, path))
    pending = _parse(root, path, arguments)
    if isinstance(pending, Err):
        return pending
    return run_pending(pending.unwrap())


def _parse(
    root: Commands, path: list[str], arguments: list[str]
) -> Result[PendingCommand, IndigoworksError]:
    """Parse the command line with fire, whose output goes to a buffer so that no pager starts."""
    remedy = f"Run `{' '.join([PROGRAM, *path, '--help'])}`."
    if "--" in arguments:
        return Err(Misuse("A lone -- is not an argument of any command.", remedy))
    with redirect_stdout(io.StringIO()), redirect_stderr(io.StringIO()):
        try:
            command = fire.Fire(root, as_texts(arguments), PROGRAM)
        except FireExit as exit_:
            message = exit_.trace.elements[-1].ErrorAsStr()
            return Err(Misuse(f"The command line is wrong: {message}.", remedy))
    if isinstance(command, PendingCommand):
        return Ok(command)
    return Err(Misuse(f"`{' '.join([PROGRAM, *path])}` is not a complete command.", remedy))


def _help(root: Commands, path: list[str]) -> str:
    text = io.StringIO()
    # fire ends with FireExit after each help text
    with suppress(FireExit), redirect_stdout(io.StringIO()), redirect_stderr(text):
        fire.Fire(root, [*path, "--", "--help"], PROGRAM)
    return text.getvalue().rstrip()


def _fail(error: CommandError) -> int:
    kind = getattr(error, "reason", "") or error.kind
    retry = f" Retry after {error.retry_after_s:g} s." if error.retry_after_s else ""
    print(f"{PROGRAM}: {kind}: {error}{retry}", file=sys.stderr)
    return error.exit_code
