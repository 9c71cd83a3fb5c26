"""Choice of the next move that balances the weight of servers."""

from collections.abc import Sequence

from indigoworks.controller.placement.range_width import range_width
from indigoworks.controller.placement.server_weights import ServerWeights
from indigoworks.wire.control_pb2 import RangeRecord

MIN_GAIN = 0.01
"""Minimum gain of a move, as a ratio of the mean density; smaller gains don't justify the move."""


def next_move(
    weights: ServerWeights, records: Sequence[RangeRecord], threshold: float
) -> tuple[RangeRecord, str] | None:
    """Return the move with the largest gain, as the range and the name of its new owner.

    :param records: ranges of the service; ranges already moving are skipped.
    :param threshold: ranges move only if the heaviest server has more than this many times the mean
        density, or the lightest less than the mean divided by it (hysteresis).
    :returns: None when the balance is good enough or no move would improve it.
    """
    heaviest = weights.heaviest()
    lightest = weights.lightest()
    mean = weights.mean_density()
    if heaviest is None or lightest is None or mean == 0:
        return None
    is_uneven = weights.density(heaviest.name) / mean > threshold
    is_underused = weights.density(lightest.name) * threshold < mean
    if not is_uneven and not is_underused:
        return None
    movable = [each for each in records if each.owner == heaviest.name and not each.next_owner]
    best: RangeRecord | None = None
    best_rank = (MIN_GAIN * mean, 0)
    for record in movable:
        # Of moves with equal gain, the narrower range affects fewer keys.
        rank = (_gain(weights, record, heaviest.name, lightest.name), -range_width(record))
        if rank > best_rank:
            best, best_rank = record, rank
    return (best, lightest.name) if best is not None else None


def _gain(weights: ServerWeights, record: RangeRecord, source: str, target: str) -> float:
    """Return by how much the move reduces the larger density of the two servers."""
    before = max(weights.density(source), weights.density(target))
    weights.remove(source, record)
    weights.add(target, record)
    after = max(weights.density(source), weights.density(target))
    weights.remove(target, record)
    weights.add(source, record)
    return before - after
