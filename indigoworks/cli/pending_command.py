"""A command that was read and is yet to run."""

from collections.abc import Callable

from result import Err, Result

from indigoworks.common.errors import IndigoworksError

Report = str
"""What a command prints on standard output; empty: nothing."""

Action = Callable[[], Result[Report, IndigoworksError]]


class PendingCommand:
    """An action that fire's functions return instead of acting.

    fire calls a function before it has found out that later arguments are unknown. The action
    therefore runs only once the whole command line has been read without fault.
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
