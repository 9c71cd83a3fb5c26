"""The port to the row store."""

from typing import Protocol

from result import Result

from indigoworks.rowstore.errors import StoreError
from indigoworks.rowstore.rows import Rows
from indigoworks.rowstore.transaction import Transaction


class RowStore(Protocol):
    """Versioned rows; what the store acknowledged is never lost, and answers are linearizable."""

    async def read(self, table: str, part: str) -> Result[Rows, StoreError]:
        """Read one part of a table whole.

        :returns: StoreRefused or StoreUnreachable where there is no answer.
        """
        ...

    async def follow(self, table: str, after: int, wait_s: float) -> Result[Rows, StoreError]:
        """Wait for rows of any part that changed after version `after`.

        :param wait_s: longest wait, in seconds; then the answer is empty.
        :returns: the changed rows in order (removed ones too) and the version to go on from;
            HistoryGone, StoreRefused or StoreUnreachable otherwise.
        """
        ...

    async def commit(self, transaction: Transaction) -> Result[int, StoreError]:
        """Make a transaction.

        :returns: the version it made; ConditionFailed or StoreRefused: nothing was written;
            StoreUnreachable: it may have been made, or may still be.
        """
        ...
