"""What a read or a step of a feed answers."""

from dataclasses import dataclass

from indigoworks.rowstore.row import Row
from indigoworks.rowstore.store_version import StoreVersion


@dataclass(frozen=True, slots=True)
class Rows:
    """Rows as of one moment.

    :ivar version: the store's newest version at that moment.
    :ivar true_at_s: reading of our clock at which the answer was certainly true.
    :ivar is_whole: these are all rows, also where only changed ones were asked for.
    """

    rows: tuple[Row, ...]
    version: StoreVersion
    as_of_s: float
    is_whole: bool = False
