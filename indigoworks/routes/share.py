"""The group that a request is charged to, and its weight."""

from dataclasses import dataclass

EQUAL_WEIGHT = 1.0
"""Weight of a group if no level of the tree sets one; the same default as in the settings tree."""


@dataclass(frozen=True, slots=True)
class Share:
    """A group, that is the callers of one host, and its share of the servers.

    :ivar weight: its share of the slots, relative to other groups.
    """

    group: str
    weight: float = EQUAL_WEIGHT
