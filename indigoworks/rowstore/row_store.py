"""Port to the row store."""

from typing import Protocol

from result import Result

from indigoworks.rowstore.errors import StoreError
from indigoworks.rowstore.rows import Rows
from indigoworks.rowstore.store_version import StoreVersion
from indigoworks.rowstore.table_part import TablePart
from indigoworks.rowstore.transaction import Transaction


class RowStore(Protocol):
    """Versioned rows with linearizable reads; acknowledged writes are durable within an era.

    Each call may return EraEnded: the store was restored from a copy. Rows that were read before
    are then invalid, and nothing of the response was passed on.
    """

    async def read(self, table: str, part: TablePart) -> Result[Rows, StoreError]:
        """Read all rows of one part of a table.

        :returns: rows with versions of the era in which they were written; EraEnded if the part is
            not valid in the store's era when the call is sent or answered; StoreRefused or
            StoreUnreachable if there is no response.
        """
        ...

    async def follow(
        self, table: str, after: StoreVersion, wait_s: float
    ) -> Result[Rows, StoreError]:
        """Wait for rows of any part that changed after version `after`.

        :param wait_s: longest wait in seconds, after which the response is empty.
        :returns: the changed rows in order, including removed ones, and the version to follow from
            next; HistoryGone, also if `after` is of an earlier era; StoreRefused or
            StoreUnreachable otherwise.
        """
        ...

    async def commit(self, transaction: Transaction) -> Result[StoreVersion, StoreError]:
        """Commit a transaction.

        :returns: the version of the commit; ConditionFailed or StoreRefused: nothing was written;
            StoreUnreachable: it may have been applied, or may still be.
        """
        ...
