"""Range moves because of load, decided on load windows of different lengths."""

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
    """Return moves that relieve overloaded servers; empty: none is overloaded.

    The shortest window with a significant result decides. A longer one also covers the time before
    keys became hot and underestimates their load, so that too small a part of them would move.
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
    """Return moves that even out load; empty: it is even, or there is too little traffic to tell.

    Before MIN_COVERED_S of traffic neither the load nor the speed of servers is known, and moves
    would be random.
    """
    window = load.slow(table.service)
    if window.traffic_s < MIN_COVERED_S:
        return []
    return LoadBalancer(table, window).rebalance_moves(servers)


def moves_outside(moves: Sequence[RangeMove], kept: Sequence[OwnedRange]) -> list[RangeMove]:
    """Return the moves that take no key out of the ranges in `kept`."""
    return [each for each in moves if not any(each.takes_from(owned) for owned in kept)]
