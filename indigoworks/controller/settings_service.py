"""The leader's service that changes the settings tree."""

import asyncio

from eliot import log_message
from result import Err, Ok, Result

from indigoworks.admin.errors import (
    AdminError,
    ChangeIdReused,
    InvalidSettings,
    NotLeader,
    SettingsConflict,
    SettingsOutcomeUnknown,
    SettingsStoreUnavailable,
)
from indigoworks.admin.settings_accepted import SettingsAccepted
from indigoworks.admin.settings_change import SettingsChange
from indigoworks.admin.settings_difference import settings_difference
from indigoworks.common.clock import Clock
from indigoworks.controller.control_state import ReplicatedControlState
from indigoworks.controller.leadership import Leadership
from indigoworks.controller.retry_timing import LEADER_RETRY_AFTER_S
from indigoworks.controller.settings_record import SettingsRecord
from indigoworks.controller.settings_table import SettingsTable
from indigoworks.controller.tree_cache import TreeCache
from indigoworks.controllog.control_log_node import ControlLogNode
from indigoworks.platform.errors import PlatformError, PlatformOutcomeUnknown, VersionConflict
from indigoworks.settings import SettingsTree, canonical_json, parse_tree
from indigoworks.wire.control_pb2 import Command

ADOPTION_INTERVAL_S = 5.0
"""Interval between reads of the table for versions that an earlier leader wrote."""

ADOPTION_RETRY_S = 0.5
"""Time before another read when the table did not respond and the settings are unconfirmed."""

STORE_RETRY_AFTER_S = 2.0
"""Retry time for an operator when the table service refused a write without naming one."""


class SettingsService:
    """Writes changes to the table service first, then puts them in force through the log.

    The table row is authoritative: if a leader is lost after writing a change to the table and
    before committing it to the log, the next leader adopts it from the table.
    """

    def __init__(
        self,
        node: ControlLogNode,
        state: ReplicatedControlState,
        leadership: Leadership,
        table: SettingsTable,
        clock: Clock,
    ) -> None:
        self._node = node
        self._state = state
        self._leadership = leadership
        self._table = table
        self._clock = clock
        self._tree_cache = TreeCache()
        self._lock = asyncio.Lock()

    async def run(self) -> None:
        """Adopt versions that are in the table but not in the log, until cancelled."""
        while True:
            is_adopted = await self._adopt_from_table()
            is_up_to_date = is_adopted or self.is_confirmed()
            await self._clock.sleep(ADOPTION_INTERVAL_S if is_up_to_date else ADOPTION_RETRY_S)

    def is_confirmed(self) -> bool:
        """Return whether the settings were read from the table in this generation."""
        return self._state.settings.generation >= self._leadership.generation

    async def change(self, change: SettingsChange) -> Result[SettingsAccepted, AdminError]:
        """Store `change` as the next version; see ControlPlane.change_settings."""
        parsed = parse_tree(change.tree)
        if isinstance(parsed, Err):
            return Err(InvalidSettings.from_document(parsed.unwrap_err()))
        # One change at a time: a concurrent change is checked against the result of the first one.
        async with self._lock:
            return await self._change(change, parsed.unwrap())

    async def _change(
        self, change: SettingsChange, tree: SettingsTree
    ) -> Result[SettingsAccepted, AdminError]:
        if not self._leadership.may_grant():
            return Err(_not_leader())
        current = self._state.settings
        content = canonical_json(tree)
        created_version = self._state.version_of_change(change.change_id)
        if created_version is not None:
            return self._answer_repeated(change, content, created_version)
        if change.expected_version != current.version:
            return Err(self._conflict(tree))
        record = SettingsRecord.in_force(current).successor(change.change_id, content)
        written = await self._table.write(record)
        if written.is_err():
            return await self._handle_write_error(change, tree, written.unwrap_err())
        return await self._put_in_force(record)

    def _answer_repeated(
        self, change: SettingsChange, content: bytes, created_version: int
    ) -> Result[SettingsAccepted, AdminError]:
        """Answer a change id that was accepted before; only the current tree can be compared."""
        current = self._state.settings
        if created_version < current.version or current.tree == content:
            return Ok(SettingsAccepted(change.change_id, created_version))
        return Err(
            ChangeIdReused(
                f"Change id {change.change_id} belongs to version {created_version}.",
                "Send the new tree under a change id of its own.",
            )
        )

    async def _handle_write_error(
        self, change: SettingsChange, tree: SettingsTree, error: PlatformError
    ) -> Result[SettingsAccepted, AdminError]:
        if isinstance(error, VersionConflict):
            await self._adopt()
            return Err(self._conflict(tree))
        if isinstance(error, PlatformOutcomeUnknown):
            return Err(_outcome_unknown(change.change_id))
        return Err(
            SettingsStoreUnavailable(
                "The platform's table service does not accept the change now; nothing changed.",
                "Send the same change again after the time given.",
                error.retry_after_s or STORE_RETRY_AFTER_S,
            )
        )

    async def _put_in_force(self, record: SettingsRecord) -> Result[SettingsAccepted, AdminError]:
        proposed = await self._node.propose(self._command(record))
        if proposed.is_err():
            # The table holds the change, so the next leader adopts it; this one doesn't know when.
            return Err(_outcome_unknown(record.change_id))
        log_message(
            message_type="settings:accepted",
            version=record.version,
            change_id=record.change_id,
            term=self._leadership.term,
        )
        return Ok(SettingsAccepted(record.change_id, record.version))

    async def _adopt_from_table(self) -> bool:
        if not self._leadership.may_grant():
            return False
        async with self._lock:
            return await self._adopt()

    async def _adopt(self) -> bool:
        """Put the table's version in force if it is newer, or to confirm it in this generation.

        The caller must hold the lock.
        """
        read = await self._table.read()
        if read.is_err():
            return False
        newest = read.unwrap() or SettingsRecord(0, "", b"")
        if newest.version <= self._state.settings.version and self.is_confirmed():
            return True
        proposed = await self._node.propose(self._command(newest))
        return proposed.is_ok()

    def _command(self, record: SettingsRecord) -> Command:
        return Command(replace_settings=record.to_command(self._leadership.generation))

    def _conflict(self, refused: SettingsTree) -> SettingsConflict:
        current = self._state.settings
        in_force = self._tree_cache.tree(current) or SettingsTree()
        return SettingsConflict(
            f"The tree is at version {current.version}; another change was accepted first.",
            "Read the tree in force, merge your change into it and send that.",
            current_version=current.version,
            difference=settings_difference(in_force, refused),
        )


def _not_leader() -> NotLeader:
    return NotLeader(
        "The leader has changed; nothing took effect.",
        "Send the change again after the time given.",
        LEADER_RETRY_AFTER_S,
    )


def _outcome_unknown(change_id: str) -> SettingsOutcomeUnknown:
    return SettingsOutcomeUnknown(
        "The change may have taken effect: a reply was lost.",
        f"Ask for the progress of change {change_id}, or send it again under the same id.",
        STORE_RETRY_AFTER_S,
        change_id=change_id,
    )
