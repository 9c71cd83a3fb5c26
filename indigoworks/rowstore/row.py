"""One row of the store."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Row:
    """A row as the store held it at one version.

    :ivar version: from one counter of the store that rises with each transaction.
    :ivar is_removed: the row was taken out at that version; its value is empty.
    """

    table: str
    part: str
    key: str
    value: bytes
    version: int
    is_removed: bool = False
