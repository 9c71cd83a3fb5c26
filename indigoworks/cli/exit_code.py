"""Exit codes of the command line."""

from enum import IntEnum


class ExitCode(IntEnum):
    """How a command ended.

    :cvar DONE: it was done.
    :cvar REFUSED: the command line is right, and the system or a check refused it.
    :cvar MISUSE: the command line is wrong.
    """

    DONE = 0
    REFUSED = 1
    MISUSE = 2
