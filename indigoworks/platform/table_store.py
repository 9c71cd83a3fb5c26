"""Port to the transactional table service."""

from collections.abc import Sequence
from typing import Protocol

from result import Result

from indigoworks.platform.errors import PlatformError
from indigoworks.platform.row_write import RowWrite
from indigoworks.platform.table_row import TableRow


class TableStore(Protocol):
    """The platform's table service. Each call is one request; nothing is retried here."""

    async def read(self, key: str) -> Result[TableRow | None, PlatformError]:
        """Return the row, or None where there is none."""
        ...

    async def transact(self, writes: Sequence[RowWrite]) -> Result[None, PlatformError]:
        """Apply all writes, or none.

        :returns: VersionConflict, PlatformUnavailable or PlatformRateLimited when nothing took
            effect; PlatformOutcomeUnknown when the writes may have taken effect.
        """
        ...
