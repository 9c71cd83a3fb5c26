"""How many witnesses a successor needs, and when enough of them keep a record."""

from collections.abc import Collection

from indigoworks.exchange.process_id import ProcessId

Configuration = frozenset[ProcessId]
"""The witnesses that one version of the leader row names."""


def read_quorum(count: int) -> int:
    """Return how many of `count` witnesses a successor needs: a majority.

    The leader needs the others and one more, so that it goes on without one of two or three.
    """
    return count // 2 + 1


def is_read_by_any_successor(
    configuration: Configuration, keepers: Collection[ProcessId], ended: Collection[ProcessId]
) -> bool:
    """Return whether each set of witnesses that a successor may ask has one that keeps a record.

    :param keepers: the processes that keep the record.
    :param ended: processes that have ended, and answer nobody.
    """
    others = configuration.difference(keepers).difference(ended)
    return len(others) < read_quorum(len(configuration))
