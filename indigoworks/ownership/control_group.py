"""Partition of the control table that holds a control group's rows."""

from collections.abc import Sequence

from indigoworks.rowstore.store_eras import StoreEras
from indigoworks.rowstore.table_part import TablePart
from indigoworks.rowstore.transaction import ExpectedVersion, RowPut, Transaction

CONTROL_TABLE = "indigoworks"


def part_of(era: int, group_id: int = 0) -> str:
    """Return the partition (`part`) of the control table for a group's rows of one era."""
    return f"group-{group_id}" if era == 0 else f"group-{group_id}-era-{era}"


class ControlGroup:
    """A set of services whose keys one leader assigns to servers.

    Its rows share one partition: one transaction can check the leader row and change owners.

    Each era of the store has its own partition. The store reuses version numbers in a new era: a
    condition from an earlier era could match by chance, and a delayed write of that era may still
    be applied. Neither can affect rows of the current era.
    """

    def __init__(self, eras: StoreEras, group_id: int = 0) -> None:
        self.eras = eras
        self._group_id = group_id

    @property
    def part(self) -> TablePart:
        """Return the partition of the current era; reads of it are valid in this era alone."""
        return self.part_in(self.eras.current)

    def part_in(self, era: int) -> TablePart:
        """Return the partition of an era, to be read in the current one."""
        return TablePart(part_of(era, self._group_id), era, self.eras.current)

    def transaction(
        self, expected: Sequence[ExpectedVersion], puts: Sequence[RowPut]
    ) -> Transaction:
        """Return a transaction on the rows of the current era."""
        return Transaction(self.eras.current, self.part.name, tuple(expected), tuple(puts))
