"""Writes the leader row."""

from result import Result

from indigoworks.ownership.control_group import CONTROL_TABLE, ControlGroup
from indigoworks.ownership.leader_row import LEADER_KEY, LeaderRow
from indigoworks.rowstore.errors import StoreError
from indigoworks.rowstore.row_store import RowStore
from indigoworks.rowstore.store_version import StoreVersion
from indigoworks.rowstore.transaction import ExpectedVersion, RowPut


class LeaderRowWriter:
    """Replaces the leader row if it still has the version that the caller knows."""

    def __init__(self, group: ControlGroup, store: RowStore) -> None:
        self._group = group
        self._store = store

    async def write(
        self, row: LeaderRow, condition: ExpectedVersion
    ) -> Result[StoreVersion, StoreError]:
        """Write a row; return its version, or why the store did not take it."""
        put = RowPut(CONTROL_TABLE, LEADER_KEY, row.encode())
        return await self._store.commit(self._group.transaction((condition,), (put,)))
