"""Moves that even out the key-space width of the servers."""

from collections.abc import Sequence

from indigoworks.controller.placement.server_board import ServerBoard, range_width
from indigoworks.wire.control_pb2 import RangeRecord


def next_move(
    board: ServerBoard, records: Sequence[RangeRecord], threshold: float
) -> tuple[RangeRecord, str] | None:
    """Return the most useful move, as the range and the name of its new owner.

    :param records: ranges of the service; ranges on their way are left alone.
    :param threshold: ratio of the heaviest server to the mean above which moves are worth their
        churn (hysteresis).
    :returns: None when the balance is good enough or no move would better it.
    """
    heaviest = board.heaviest()
    lightest = board.lightest()
    mean = board.mean_density()
    if heaviest is None or lightest is None or mean == 0:
        return None
    is_uneven = board.density(heaviest.name) / mean > threshold
    has_starving = board.density(lightest.name) * threshold < mean
    if not is_uneven and not has_starving:
        return None
    movable = [each for each in records if each.owner == heaviest.name and not each.next_owner]
    for record in sorted(movable, key=range_width, reverse=True):
        if _betters(board, record, heaviest.name, lightest.name):
            return record, lightest.name
    return None


def _betters(board: ServerBoard, record: RangeRecord, source: str, target: str) -> bool:
    """Tell whether the move lowers the larger of the two densities."""
    before = board.density(source)
    board.remove(source, record)
    board.add(target, record)
    after = max(board.density(source), board.density(target))
    board.remove(target, record)
    board.add(source, record)
    return after < before
