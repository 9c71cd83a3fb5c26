"""A row of the table service."""

from dataclasses import dataclass


@dataclass(frozen=True)
class TableRow:
    """Value of a row and its version; the version grows by one with each write, from 1."""

    key: str
    value: bytes
    version: int
