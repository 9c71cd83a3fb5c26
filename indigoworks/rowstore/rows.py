"""Result of a read or of a feed call."""

from dataclasses import dataclass

from indigoworks.rowstore.row import Row
from indigoworks.rowstore.store_version import StoreVersion


@dataclass(frozen=True, slots=True)
class Rows:
    """Rows as of one point in time.

    :ivar version: the store's newest version at that time.
    :ivar as_of_s: reading of our clock at which the rows were certainly the newest.
    :ivar is_whole: these are all rows, even if only changed ones were requested.
    """

    rows: tuple[Row, ...]
    version: StoreVersion
    as_of_s: float
    is_whole: bool = False
