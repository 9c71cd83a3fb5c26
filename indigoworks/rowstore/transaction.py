"""A change of several rows that is made whole or not at all."""

from dataclasses import dataclass

ABSENT = 0
"""Expected version of a row that must not be there."""


@dataclass(frozen=True, slots=True)
class ExpectedVersion:
    """A row that must have `version` (ABSENT: must not be there) for the transaction to be made."""

    table: str
    key: str
    version: int


@dataclass(frozen=True, slots=True)
class RowPut:
    """A row to write."""

    table: str
    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class Transaction:
    """Conditions and writes within one part, at most 100 together."""

    part: str
    expected: tuple[ExpectedVersion, ...]
    puts: tuple[RowPut, ...]
