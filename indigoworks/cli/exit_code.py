"""Exit codes of the command line."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit code of a command.

    :cvar DONE: the command succeeded.
    :cvar REFUSED: the command line is valid, but the system or a check refused it.
    :cvar MISUSE: the command line is invalid.
    """

    DONE = 0
    REFUSED = 1
    MISUSE = 2
