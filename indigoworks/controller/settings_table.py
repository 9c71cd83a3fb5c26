"""Storage of the settings tree in the platform's table service."""

from eliot import log_message
from result import Err, Ok, Result

from indigoworks.common.clock import Clock
from indigoworks.controller.settings_record import SettingsRecord, settings_row_key
from indigoworks.platform.errors import PlatformError, PlatformOutcomeUnknown, VersionConflict
from indigoworks.platform.row_write import RowWrite
from indigoworks.platform.table_store import TableStore

RESOLVE_LIMIT_S = 2.0
"""Time after which no further attempt is made to resolve the outcome of a write whose reply was
lost. With the platform's timeout of 1 s per request, an operator gets a response within 5 s."""

ATTEMPT_PAUSE_S = 0.2
"""Pause before each attempt to resolve a lost reply."""


class SettingsTable:
    """Reads and conditionally writes the settings row of one group."""

    def __init__(self, table: TableStore, group_id: int, clock: Clock) -> None:
        self._table = table
        self._key = settings_row_key(group_id)
        self._clock = clock

    async def read(self) -> Result[SettingsRecord | None, PlatformError]:
        """Return the latest accepted settings, or None if there are none yet."""
        response = await self._table.read(self._key)
        if isinstance(response, Err):
            return response
        row = response.unwrap()
        return Ok(None if row is None else SettingsRecord.from_row(row.value, row.version))

    async def write(self, record: SettingsRecord) -> Result[None, PlatformError]:
        """Write `record` if the stored version is the one before it.

        A lost reply is resolved by repeating the conditional write and then reading back. Reading
        alone is not enough: a read that still shows the old version does not prove that a delayed
        write will not take effect later.

        :returns: VersionConflict or another error if nothing took effect; PlatformOutcomeUnknown
            if the outcome could not be resolved.
        """
        outcome = await self._write_once(record)
        if not _is_unknown(outcome):
            return outcome
        give_up_at_s = self._clock.now() + RESOLVE_LIMIT_S
        while self._clock.now() < give_up_at_s:
            await self._clock.sleep(ATTEMPT_PAUSE_S)
            resolved = await self._resolve(record)
            if resolved is not None:
                return resolved
        return outcome

    async def _write_once(self, record: SettingsRecord) -> Result[None, PlatformError]:
        write = RowWrite(self._key, record.to_row_value(), record.version - 1)
        return await self._table.transact([write])

    async def _resolve(self, record: SettingsRecord) -> Result[None, PlatformError] | None:
        """Return the outcome of an earlier write, or None if it is still unknown."""
        repeated = await self._write_once(record)
        if repeated.is_ok():
            return Ok(None)
        if not isinstance(repeated.unwrap_err(), VersionConflict):
            # A refused repeat does not show whether the first write took effect.
            return None
        read = await self.read()
        if read.is_err():
            return None
        newest = read.unwrap()
        is_ours = newest is not None and newest.has_change(record.change_id)
        log_message(message_type="settings:lost_answer_resolved", is_ours=is_ours)
        if is_ours:
            return Ok(None)
        # Another change has taken this version, so ours can no longer take effect.
        return repeated


def _is_unknown(outcome: Result[None, PlatformError]) -> bool:
    return outcome.is_err() and isinstance(outcome.unwrap_err(), PlatformOutcomeUnknown)
