"""Load of one group of an installation."""

from dataclasses import dataclass


@dataclass(frozen=True)
class GroupShape:
    """A group and its share of the calm load, which equals its weight in the tree."""

    name: str
    weight: float
