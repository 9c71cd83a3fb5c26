"""Where the rows of a control group lie."""

from collections.abc import Sequence

from indigoworks.rowstore.store_eras import StoreEras
from indigoworks.rowstore.transaction import ExpectedVersion, RowPut, Transaction

CONTROL_TABLE = "indigoworks"


def part_of(era: int, group_id: int = 0) -> str:
    """Return the part of the control table that holds a group's rows of one era."""
    return f"group-{group_id}" if era == 0 else f"group-{group_id}-era-{era}"


class ControlGroup:
    """A group of keys with one leader; its rows share one part, so that one transaction can
    condition on the leader and change owners.

    Each era of the store has a part of its own. Versions are given out again in a new era: a
    condition of an earlier one could hold by chance, and a write of it may be made seconds later.
    Neither reaches rows that anybody still goes by.
    """

    def __init__(self, eras: StoreEras, group_id: int = 0) -> None:
        self.eras = eras
        self._group_id = group_id

    @property
    def part(self) -> str:
        """Return the part of the current era."""
        return self.part_in(self.eras.current)

    def part_in(self, era: int) -> str:
        """Return the part of an era."""
        return part_of(era, self._group_id)

    def transaction(
        self, expected: Sequence[ExpectedVersion], puts: Sequence[RowPut]
    ) -> Transaction:
        """Return a transaction on the rows of the current era."""
        return Transaction(self.eras.current, self.part, tuple(expected), tuple(puts))
