"""A table whose delays, refusals and lost answers the search chooses."""

import asyncio
from collections.abc import Sequence
from enum import Enum, auto

import detangle
from result import Err, Ok, Result

from indigoworks.platform.errors import (
    PlatformError,
    PlatformOutcomeUnknown,
    PlatformUnavailable,
    VersionConflict,
)
from indigoworks.platform.row_write import RowWrite
from indigoworks.platform.table_row import TableRow

PROMPT_S = 0.004
LATE_S = 0.9
ANSWER_TIMEOUT_S = 0.3


class WriteFate(Enum):
    """What becomes of a write."""

    PROMPT = auto()
    ANSWER_LOST = auto()
    """It takes effect; the answer is lost."""

    LATE = auto()
    """It takes effect long after the writer has given up."""

    LOST = auto()
    """It never arrives; the writer cannot tell."""

    REFUSED = auto()


class ChosenTable:
    """TableStore in which the fates of the first writes are chosen.

    :ivar versions: value of each version of the settings row, from version 1.
    :ivar has_seen_no_write: no write was sent yet.
    """

    def __init__(self, chosen_writes: int) -> None:
        self.versions: list[bytes] = []
        self.has_seen_no_write = True
        self._writes_left = chosen_writes

    async def read(self, key: str) -> Result[TableRow | None, PlatformError]:
        """Return the row, or None where there is none."""
        await asyncio.sleep(PROMPT_S)
        if not self.versions:
            return Ok(None)
        return Ok(TableRow(key, self.versions[-1], len(self.versions)))

    async def transact(self, writes: Sequence[RowWrite]) -> Result[None, PlatformError]:
        """Apply the one write, with the fate that is chosen for it."""
        self.has_seen_no_write = False
        fate = WriteFate.PROMPT
        if self._writes_left > 0:
            self._writes_left -= 1
            fate = detangle.choice(list(WriteFate))
        await asyncio.sleep(PROMPT_S)
        if fate is WriteFate.REFUSED:
            return Err(PlatformUnavailable("The table is down.", "Try later."))
        if fate is WriteFate.PROMPT:
            return self._apply(writes[0])
        if fate is WriteFate.ANSWER_LOST:
            self._apply(writes[0])
        if fate is WriteFate.LATE:
            asyncio.ensure_future(self._apply_late(writes[0]))
        await asyncio.sleep(ANSWER_TIMEOUT_S)
        return Err(PlatformOutcomeUnknown("The answer was lost.", "Read back first."))

    async def _apply_late(self, write: RowWrite) -> None:
        await asyncio.sleep(LATE_S)
        self._apply(write)

    def _apply(self, write: RowWrite) -> Result[None, PlatformError]:
        if write.expected_version != len(self.versions):
            return Err(VersionConflict("The row has changed.", "Read it again."))
        self.versions.append(write.value)
        return Ok(None)
