"""Atomic change of several rows."""

from dataclasses import dataclass

from indigoworks.rowstore.store_version import NO_VERSION, StoreVersion

ABSENT = NO_VERSION
"""Expected version of a row that must not exist."""


@dataclass(frozen=True, slots=True)
class ExpectedVersion:
    """Condition of a transaction: the row must have `version` (ABSENT: must not exist)."""

    table: str
    key: str
    version: StoreVersion


@dataclass(frozen=True, slots=True)
class RowPut:
    """A row to write."""

    table: str
    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class Transaction:
    """Conditions and writes within one part, at most 100 together.

    :ivar era: era of the store in which it is valid; it is not sent in another one.
    """

    era: int
    part: str
    expected: tuple[ExpectedVersion, ...]
    puts: tuple[RowPut, ...]

    def is_valid_in(self, era: int) -> bool:
        """Return whether it may be sent in an era of the store.

        The store compares the counters of versions alone: the version of a row in another era could
        match by chance.
        """
        return self.era == era and all(
            each.version == ABSENT or each.version.era == era for each in self.expected
        )
