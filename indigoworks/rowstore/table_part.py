"""Part of a table, as a read names it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TablePart:
    """Name of a part, and the eras of the store that a read of it depends on.

    A read may wait before it is sent, and the store may be restored from a copy meanwhile. A part
    that holds the rows of one era then still exists, but with the rows of the copy.

    :ivar name: the store's name of the part.
    :ivar written_in: era in which all of its rows were written; None: rows of any era.
    :ivar valid_in: era of the store in which a read of it is valid; None: any era.
    """

    name: str
    written_in: int | None = None
    valid_in: int | None = None

    def is_valid_in(self, era: int) -> bool:
        """Return whether a read may be sent, and its response be used, in an era of the store."""
        return self.valid_in is None or self.valid_in == era

    def row_era(self, read_in: int) -> int:
        """Return the era of the versions of its rows, which were read in `read_in`."""
        return read_in if self.written_in is None else self.written_in


UNDIVIDED = TablePart("")
"""The only part of a table that other programs write, whatever the era."""
