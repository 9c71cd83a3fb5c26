"""One row of the store."""

from dataclasses import dataclass

from indigoworks.rowstore.store_version import StoreVersion


@dataclass(frozen=True, slots=True)
class Row:
    """A row as the store held it at one version.

    :ivar version: the store's version that wrote it; of a row that a copy brought back, in the era
        in which it was read.
    :ivar is_removed: the row was taken out at that version; its value is empty.
    """

    table: str
    part: str
    key: str
    value: bytes
    version: StoreVersion
    is_removed: bool = False
