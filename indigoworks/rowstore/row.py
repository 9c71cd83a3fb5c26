"""Row of the store."""

from dataclasses import dataclass

from indigoworks.rowstore.store_version import StoreVersion


@dataclass(frozen=True, slots=True)
class Row:
    """A row as the store held it at one version.

    :ivar version: version of the store that wrote it; for a row from a restored copy, in the era in
        which it was read.
    :ivar is_removed: the row was removed at that version; its value is empty.
    """

    table: str
    part: str
    key: str
    value: bytes
    version: StoreVersion
    is_removed: bool = False
