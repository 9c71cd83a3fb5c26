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
from indigoworks.platform.machine_record import MachineRecord
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

    async def sleep(self, duration_s: float) -> None:
        await asyncio.sleep(duration_s / self._rate)


class MemoryTable:
    """Table service that can be down and can lose the answers of writes that took effect."""

    def __init__(self) -> None:
        self.rows: dict[str, TableRow] = {}
        self.is_down = False
        self.loses_answers = False
        self.answers_lost = 0
        self.reached_only_by = ""

    async def read(self, key: str) -> Result[TableRow | None, PlatformError]:
        await asyncio.sleep(ANSWER_DELAY_S)
        if self.is_down:
            return Err(PlatformUnavailable("The table service is down.", "Wait.", 1.0))
        return Ok(self.rows.get(key))

    async def transact(self, writes: Sequence[RowWrite]) -> Result[None, PlatformError]:
        await asyncio.sleep(ANSWER_DELAY_S)
        if self.is_down:
            return Err(PlatformUnavailable("The table service is down.", "Wait.", 1.0))
        if any(self._version(write.key) != write.expected_version for write in writes):
            return Err(VersionConflict("The row has changed.", "Read it again."))
        for write in writes:
            self.rows[write.key] = TableRow(write.key, write.value, write.expected_version + 1)
        if self.loses_answers:
            self.answers_lost += 1
            # The read that follows fails too, so that the writer is left without any answer.
            self.is_down = True
            return Err(PlatformOutcomeUnknown("The answer was lost.", "Read the row."))
        await asyncio.sleep(ANSWER_DELAY_S)
        return Ok(None)

    def unreachable(self, name: str) -> Err[PlatformError] | None:
        """Return the error of a machine that is cut off from the table service."""
        if self.reached_only_by in ("", name):
            return None
        return Err(PlatformUnavailable("No path to the table service.", "Wait.", 1.0))

    def _version(self, key: str) -> int:
        return self.rows[key].version if key in self.rows else 0


class TableFromOneHost:
    """The table service as one machine reaches it."""

    def __init__(self, table: MemoryTable, name: str) -> None:
        self._table = table
        self._name = name

    async def read(self, key: str) -> Result[TableRow | None, PlatformError]:
        return self._table.unreachable(self._name) or await self._table.read(key)

    async def transact(self, writes: Sequence[RowWrite]) -> Result[None, PlatformError]:
        return self._table.unreachable(self._name) or await self._table.transact(writes)


class MemoryMachines:
    """Machine list."""

    def __init__(self) -> None:
        self.records: dict[str, MachineRecord] = {}
        self.is_down = False

    async def machines(self) -> Result[Sequence[MachineRecord], PlatformError]:
        if self.is_down:
            return Err(PlatformUnavailable("The machine list is down.", "Wait.", 1.0))
        return Ok(list(self.records.values()))


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
