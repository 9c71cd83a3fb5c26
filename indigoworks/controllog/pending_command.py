"""Command that waits to be committed."""

import asyncio
from dataclasses import dataclass, field

from result import Result

from indigoworks.controllog.errors import ControlLogError
from indigoworks.wire.control_pb2 import Command


def _new_outcome() -> "asyncio.Future[Result[int, ControlLogError]]":
    return asyncio.get_running_loop().create_future()


@dataclass(eq=False)
class PendingCommand:
    """A proposed command and its outcome."""

    command: Command
    outcome: "asyncio.Future[Result[int, ControlLogError]]" = field(default_factory=_new_outcome)

    def settle(self, result: Result[int, ControlLogError]) -> None:
        """Set the outcome, unless it is set or the proposer was cancelled."""
        if not self.outcome.done():
            self.outcome.set_result(result)
