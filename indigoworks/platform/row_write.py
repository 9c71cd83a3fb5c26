"""A conditional write to the table service."""

from dataclasses import dataclass


@dataclass(frozen=True)
class RowWrite:
    """Write `value` to the row `key` if it has `expected_version` (0: the row must not exist)."""

    key: str
    value: bytes
    expected_version: int
