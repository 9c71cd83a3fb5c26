"""In-memory stand-ins for the platform and for the replicated state."""

import asyncio
from collections.abc import Sequence

from result import Err, Ok, Result

from indigoworks.platform.errors import (
    PlatformError,
    PlatformOutcomeUnknown,
    PlatformUnavailable,
    VersionConflict,
)
from indigoworks.platform.row_write import RowWrite
from indigoworks.platform.table_row import TableRow
from indigoworks.wire.control_pb2 import Command

ANSWER_DELAY_S = 0.005


class DriftingClock:
    """Clock that runs fast or slow against the simulation's time, from an offset of its own."""

    def __init__(self, rate: float, offset_s: float) -> None:
        self._rate = rate
        self._offset_s = offset_s

    def now(self) -> float:
        return asyncio.get_running_loop().time() * self._rate + self._offset_s

    def true_time_s(self, reading_s: float) -> float:
        """Return the simulation's time of a reading."""
        return (reading_s - self._offset_s) / self._rate

    def jump(self, duration_s: float) -> None:
        """Go on as after a pause of the process, in which the clock ran and nothing else."""
        self._offset_s += duration_s

    async def sleep(self, duration_s: float) -> None:
        await asyncio.sleep(duration_s / self._rate)


class MemoryTable:
    """Table service that can be down, lose answers of writes that took effect, and hold writes.

    :ivar out_of_reach: machines that do not reach it.
    :ivar holds_writes_of: machine whose writes are kept in `held` in place of being carried out.
    """

    def __init__(self) -> None:
        self.rows: dict[str, TableRow] = {}
        self.is_down = False
        self.answers_to_lose = 0
        self.out_of_reach: set[str] = set()
        self.holds_writes_of = ""
        self.held: list[Sequence[RowWrite]] = []
        self.calls = 0

    async def read(self, key: str) -> Result[TableRow | None, PlatformError]:
        self.calls += 1
        await asyncio.sleep(ANSWER_DELAY_S)
        if self.is_down:
            return Err(PlatformUnavailable("The table service is down.", "Wait.", 1.0))
        return Ok(self.rows.get(key))

    async def transact(self, writes: Sequence[RowWrite]) -> Result[None, PlatformError]:
        self.calls += 1
        await asyncio.sleep(ANSWER_DELAY_S)
        if self.is_down:
            return Err(PlatformUnavailable("The table service is down.", "Wait.", 1.0))
        if not self.carry_out(writes):
            return Err(VersionConflict("The row has changed.", "Read it again."))
        if self.answers_to_lose > 0:
            self.answers_to_lose -= 1
            return Err(PlatformOutcomeUnknown("The answer was lost.", "Read the row."))
        await asyncio.sleep(ANSWER_DELAY_S)
        return Ok(None)

    def carry_out(self, writes: Sequence[RowWrite]) -> bool:
        """Carry a transaction out; False when a condition does not hold."""
        if any(self._version(write.key) != write.expected_version for write in writes):
            return False
        for write in writes:
            self.rows[write.key] = TableRow(write.key, write.value, write.expected_version + 1)
        return True

    def _version(self, key: str) -> int:
        return self.rows[key].version if key in self.rows else 0


class TableFromOneHost:
    """The table service as one machine reaches it."""

    def __init__(self, table: MemoryTable, name: str) -> None:
        self._table = table
        self._name = name

    async def read(self, key: str) -> Result[TableRow | None, PlatformError]:
        if self._name in self._table.out_of_reach:
            return await self._unreachable()
        return await self._table.read(key)

    async def transact(self, writes: Sequence[RowWrite]) -> Result[None, PlatformError]:
        if self._name in self._table.out_of_reach:
            return await self._unreachable()
        if self._name == self._table.holds_writes_of:
            await asyncio.sleep(ANSWER_DELAY_S)
            self._table.held.append(writes)
            return Err(PlatformOutcomeUnknown("The answer was lost.", "Read the row."))
        return await self._table.transact(writes)

    async def _unreachable(self) -> Err[PlatformError]:
        await asyncio.sleep(ANSWER_DELAY_S)
        return Err(PlatformUnavailable("No path to the table service.", "Wait.", 1.0))


class HistoryState:
    """Replicated state that is the list of the commands it applied."""

    def __init__(self) -> None:
        self.applied: list[tuple[int, str]] = []

    def apply(self, index: int, command: Command) -> None:
        self.applied.append((index, text_of(command)))

    def snapshot(self) -> bytes:
        return "\n".join(f"{index} {text}" for index, text in self.applied).encode()

    def restore(self, snapshot: bytes) -> None:
        lines = snapshot.decode().splitlines()
        self.applied = [(int(line.split(" ", 1)[0]), line.split(" ", 1)[1]) for line in lines]

    def texts(self) -> list[str]:
        return [text for _, text in self.applied if not text.startswith("-")]


def text_of(command: Command) -> str:
    """Return the text that a test put into a command, or a dash and the kind of another one."""
    kind = command.WhichOneof("command")
    return command.replace_settings.change_id if kind == "replace_settings" else f"-{kind}"
