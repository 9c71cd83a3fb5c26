"""Exit codes of the command line."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit code of a command.

    :cvar DONE: the command succeeded.
    :cvar REFUSED: the command line is valid, but the command was refused or failed (such as an
        unreachable node or a failed process).
    :cvar MISUSE: the command line is invalid.
    """

    DONE = 0
    REFUSED = 1
    MISUSE = 2
