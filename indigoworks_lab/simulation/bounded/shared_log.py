"""A log that two leaders write one after the other, without a store behind it."""

import asyncio

from result import Err, Ok, Result

from indigoworks.controller.control_state import ReplicatedControlState
from indigoworks.controllog.errors import ControlLogError, not_leader, outcome_unknown
from indigoworks.wire.control_pb2 import Command

COMMIT_S = 0.01


class SharedLog:
    """Committed commands, applied to the state of every member in the same order."""

    def __init__(self, states: list[ReplicatedControlState]) -> None:
        self._states = states
        self._index = 0

    def commit(self, command: Command) -> int:
        """Append a command and apply it everywhere."""
        self._index += 1
        for state in self._states:
            state.apply(self._index, command)
        return self._index


class LogOfLeader:
    """Stands in for the `ControlLogNode` of one leader of the shared log."""

    def __init__(self, log: SharedLog) -> None:
        self.is_over = False
        self._log = log

    async def propose(self, command: Command) -> Result[int, ControlLogError]:
        """Commit a command if the leadership lasts until then."""
        if self.is_over:
            return Err(not_leader(None))
        await asyncio.sleep(COMMIT_S)
        if self.is_over:
            return Err(outcome_unknown())
        return Ok(self._log.commit(command))
