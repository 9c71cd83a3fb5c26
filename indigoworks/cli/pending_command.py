"""A command that is parsed but has not run yet."""

from collections.abc import Callable

from result import Err, Result

from indigoworks.common.errors import IndigoworksError

Report = str
"""Standard output of a command; may be empty."""

Action = Callable[[], Result[Report, IndigoworksError]]


class PendingCommand:
    """An action that a command function returns to fire instead of running it.

    fire calls a function before it detects unknown arguments after it. The action therefore
    runs only after the whole command line has been parsed without errors.
    """

    __slots__ = ("_action",)

    def __init__(self, action: Action) -> None:
        self._action = action


def run_pending(command: PendingCommand) -> Result[Report, IndigoworksError]:
    """Run the action of `command`."""
    return command._action()


def refuse(error: IndigoworksError) -> PendingCommand:
    """Return a command that ends with `error`."""
    return PendingCommand(lambda: Err(error))
