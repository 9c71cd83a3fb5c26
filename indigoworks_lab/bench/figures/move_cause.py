"""Why a key changed its owner."""

from enum import StrEnum


class MoveCause(StrEnum):
    """Causes, by what became of the old owner."""

    LOSS = "loss"
    """The old owner was lost."""

    LEAVE = "leave"
    """The old owner was told to stop."""

    BALANCE = "balance"
    """The old owner stays: the key moved for balance, or towards a new server."""
