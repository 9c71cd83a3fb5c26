"""A change of several rows that is made whole or not at all."""

from dataclasses import dataclass

from indigoworks.rowstore.store_version import NO_VERSION, StoreVersion

ABSENT = NO_VERSION
"""Expected version of a row that must not be there."""


@dataclass(frozen=True, slots=True)
class ExpectedVersion:
    """A row that must have `version` (ABSENT: must not be there) for the transaction to be made."""

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

    :ivar era: era of the store for which it is meant; it is not sent in another one.
    """

    era: int
    part: str
    expected: tuple[ExpectedVersion, ...]
    puts: tuple[RowPut, ...]
