"""The end of an operator command."""

from dataclasses import dataclass


@dataclass(frozen=True)
class CommandResult:
    """Exit code (None: it did not end in time) and output of a command."""

    exit_code: int | None
    output: str
