"""Moves by load, each kind by the window that shows what it goes by."""

from collections.abc import Sequence

from indigoworks.ownership.group_load import GroupLoad
from indigoworks.ownership.load_balancer import (
    BURST_SIGNIFICANCE,
    HIGH_UTILISATION,
    MIN_COVERED_S,
    SIGNIFICANCE,
    LoadBalancer,
)
from indigoworks.ownership.owned_range import OwnedRange
from indigoworks.ownership.ownership_table import OwnershipTable
from indigoworks.ownership.range_move import RangeMove
from indigoworks.ownership.server_capacity import ServerCapacity


def overload_moves(
    table: OwnershipTable, load: GroupLoad, servers: Sequence[ServerCapacity]
) -> list[RangeMove]:
    """Return the moves that relieve servers which are too busy; empty: none is.

    The shortest window that leaves no doubt decides: a longer one, which also holds the time before
    keys turned hot, shows too little of their load, and too small a part of them would move.
    """
    windows = (
        (load.burst(table.service), BURST_SIGNIFICANCE),
        (load.fast(table.service), SIGNIFICANCE),
    )
    for window, significance in windows:
        balancer = LoadBalancer(table, window)
        moves = balancer.overload_moves(servers, HIGH_UTILISATION, significance)
        if moves:
            return moves
    return []


def rebalance_moves(
    table: OwnershipTable, load: GroupLoad, servers: Sequence[ServerCapacity]
) -> list[RangeMove]:
    """Return the moves that even servers out; empty: they are even, or too little was seen.

    Before MIN_COVERED_S of traffic neither the load of servers nor their speed is known: what moves
    then moves by chance.
    """
    window = load.slow(table.service)
    if window.traffic_s < MIN_COVERED_S:
        return []
    return LoadBalancer(table, window).rebalance_moves(servers)


def moves_outside(moves: Sequence[RangeMove], kept: Sequence[OwnedRange]) -> list[RangeMove]:
    """Return the moves that take no key out of the ranges that are to be kept."""
    return [each for each in moves if not any(each.takes_from(owned) for owned in kept)]
