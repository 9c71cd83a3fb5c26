"""The port to the row store."""

from typing import Protocol

from result import Result

from indigoworks.rowstore.errors import StoreError
from indigoworks.rowstore.rows import Rows
from indigoworks.rowstore.store_version import StoreVersion
from indigoworks.rowstore.transaction import Transaction


class RowStore(Protocol):
    """Versioned rows; answers are linearizable, and what is acknowledged lasts as long as the era.

    Each call may be answered with EraEnded: the store has come back from a copy. What was read
    before counts as unread, and nothing of the answer was handed on.
    """

    async def read(self, table: str, part: str) -> Result[Rows, StoreError]:
        """Read one part of a table whole.

        :returns: StoreRefused or StoreUnreachable where there is no answer.
        """
        ...

    async def follow(
        self, table: str, after: StoreVersion, wait_s: float
    ) -> Result[Rows, StoreError]:
        """Wait for rows of any part that changed after version `after`.

        :param wait_s: longest wait, in seconds; then the answer is empty.
        :returns: the changed rows in order (removed ones too) and the version to go on from;
            HistoryGone, also where `after` is of an earlier era; StoreRefused or StoreUnreachable
            otherwise.
        """
        ...

    async def commit(self, transaction: Transaction) -> Result[StoreVersion, StoreError]:
        """Make a transaction.

        :returns: the version it made; ConditionFailed or StoreRefused: nothing was written;
            StoreUnreachable: it may have been made, or may still be.
        """
        ...
