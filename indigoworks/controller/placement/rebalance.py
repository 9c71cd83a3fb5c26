"""Moves that even out the weight of the servers."""

from collections.abc import Sequence

from indigoworks.controller.placement.range_width import range_width
from indigoworks.controller.placement.server_weights import ServerWeights
from indigoworks.wire.control_pb2 import RangeRecord

MIN_GAIN = 0.01
"""Least gain of a move, as a ratio of the mean density, that is worth its churn."""


def next_move(
    weights: ServerWeights, records: Sequence[RangeRecord], threshold: float
) -> tuple[RangeRecord, str] | None:
    """Return the most useful move, as the range and the name of its new owner.

    :param records: ranges of the service; ranges on their way are left alone.
    :param threshold: ratio of the heaviest server to the mean above which moves are worth their
        churn (hysteresis).
    :returns: None when the balance is good enough or no move would better it.
    """
    heaviest = weights.heaviest()
    lightest = weights.lightest()
    mean = weights.mean_density()
    if heaviest is None or lightest is None or mean == 0:
        return None
    is_uneven = weights.density(heaviest.name) / mean > threshold
    has_starving = weights.density(lightest.name) * threshold < mean
    if not is_uneven and not has_starving:
        return None
    movable = [each for each in records if each.owner == heaviest.name and not each.next_owner]
    best: RangeRecord | None = None
    best_rank = (MIN_GAIN * mean, 0)
    for record in movable:
        # Of moves that gain the same, the narrower range takes fewer keys away.
        rank = (_gain(weights, record, heaviest.name, lightest.name), -range_width(record))
        if rank > best_rank:
            best, best_rank = record, rank
    return (best, lightest.name) if best is not None else None


def _gain(board: ServerWeights, record: RangeRecord, source: str, target: str) -> float:
    """Return by how much the move lowers the larger of the two densities."""
    before = max(board.density(source), board.density(target))
    board.remove(source, record)
    board.add(target, record)
    after = max(board.density(source), board.density(target))
    board.remove(target, record)
    board.add(source, record)
    return before - after
