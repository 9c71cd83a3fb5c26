"""Which keys move because of load or because their server leaves."""

from collections.abc import Mapping, Sequence

from indigoworks.ownership.load_window import LoadWindow
from indigoworks.ownership.owned_range import OwnedRange
from indigoworks.ownership.ownership_table import OwnershipTable
from indigoworks.ownership.range_cutter import RangeCutter
from indigoworks.ownership.range_move import RangeMove
from indigoworks.ownership.server_capacity import ServerCapacity
from indigoworks.ownership.server_load_share import requests_of, utilisation

OVERLOAD_RATIO = 1.3
"""A server is too busy when it has so many times the mean load."""

SIGNIFICANCE = 2.5
"""And when it is so many standard deviations of its sample above the mean."""

MIN_UTILISATION = 0.5
"""Below this share of its slots a server is never too busy for a single key."""

HIGH_UTILISATION = 0.75
"""From this share on a server is relieved at once."""

LEAVER_PARTS = 3
"""Parts into which the largest range of a leaving server is cut, so that its load spreads."""

MAX_MOVES = 4
"""Moves decided at once for balance."""

HOT_KEY_UTILISATION = 0.7
"""A single key is hot when it keeps so much of its server busy: it cannot be cut."""

FASTER_RATIO = 1.25
"""Such a key moves to a server that is so many times as fast."""


class LoadBalancer:
    """Decides from samples alone; nothing here sends or waits."""

    def __init__(self, table: OwnershipTable, window: LoadWindow) -> None:
        self._table = table
        self._window = window
        self._cutter = RangeCutter(window)

    def moves_of_leavers(
        self, leavers: Mapping[str, str], stayers: Sequence[ServerCapacity]
    ) -> list[RangeMove]:
        """Return the moves that empty `leavers` (server and reason), to the least busy stayers."""
        load = self._loads(stayers)
        moves: list[RangeMove] = []
        for owned in self._table.ranges:
            reason = leavers.get(owned.server_id)
            if reason is None or not stayers:
                continue
            for first, last in self._cutter.equal_parts(owned, min(LEAVER_PARTS, len(stayers))):
                target = min(stayers, key=lambda each: load[each.server_id])
                hits = self._window.count_between(first, last) + 0.5
                load[target.server_id] += self._utilisation(hits, target)
                moves.append(RangeMove(first, last, owned.server_id, target.server_id, reason))
        return moves

    def moves_for_balance(self, servers: Sequence[ServerCapacity], limit: float) -> list[RangeMove]:
        """Return moves from servers that are clearly too busy to those that are least so.

        :param limit: share of its slots below which a server is left alone.
        """
        if len(servers) < 2:
            return []
        load = self._loads(servers)
        capacity = {each.server_id: each for each in servers}
        moves: list[RangeMove] = []
        taken: set[OwnedRange] = set()
        hot = self._move_of_hot_key(servers, load, taken)
        if hot is not None:
            return [hot]
        for _ in range(MAX_MOVES):
            mean = sum(load.values()) / len(load)
            busiest = max(load, key=lambda each: load[each])
            idlest = min(load, key=lambda each: load[each])
            if not self._is_too_busy(load[busiest], mean, capacity[busiest], limit):
                break
            move = self._move_between(capacity[busiest], capacity[idlest], load, taken)
            if move is None:
                break
            moves.append(move)
        return moves

    # ---- parts ----

    def _is_too_busy(self, load: float, mean: float, server: ServerCapacity, limit: float) -> bool:
        if load < limit or load < OVERLOAD_RATIO * mean:
            return False
        per_hit = self._utilisation(1.0, server)
        hits, mean_hits = load / per_hit, mean / per_hit
        return bool(hits - mean_hits > SIGNIFICANCE * hits**0.5)

    def _move_between(
        self,
        busiest: ServerCapacity,
        idlest: ServerCapacity,
        load: dict[str, float],
        taken: set[OwnedRange],
    ) -> RangeMove | None:
        """Return what evens two servers out; the hottest range that can be cut goes first."""
        surplus = (load[busiest.server_id] - load[idlest.server_id]) / 2
        wanted_hits = surplus / self._utilisation(1.0, busiest)
        ranges = [
            each
            for each in self._table.ranges_of(busiest.server_id)
            if each not in taken and not each.former
        ]
        ranges.sort(key=lambda each: -self._window.count_between(each.first, each.last))
        for owned in ranges:
            piece = self._cutter.piece(owned, wanted_hits)
            if piece is None:
                continue
            taken.add(owned)
            hits = self._window.count_between(*piece)
            load[busiest.server_id] -= self._utilisation(hits, busiest)
            load[idlest.server_id] += self._utilisation(hits, idlest)
            return RangeMove(*piece, busiest.server_id, idlest.server_id, "load")
        return None

    def _move_of_hot_key(
        self, servers: Sequence[ServerCapacity], load: Mapping[str, float], taken: set[OwnedRange]
    ) -> RangeMove | None:
        """Return the move of a key that alone is too much for its server to a much faster one."""
        capacity = {each.server_id: each for each in servers}
        for owned in self._table.ranges:
            server = capacity.get(owned.server_id)
            if server is None or owned.former or load[owned.server_id] < MIN_UTILISATION:
                continue
            key, hits = self._cutter.hottest_key(owned)
            if self._utilisation(hits, server) < HOT_KEY_UTILISATION:
                continue
            fastest = max(servers, key=lambda each: each.requests_per_s)
            if fastest.requests_per_s > FASTER_RATIO * server.requests_per_s:
                taken.add(owned)
                return RangeMove(key, key, owned.server_id, fastest.server_id, "hot_key")
        return None

    def _loads(self, servers: Sequence[ServerCapacity]) -> dict[str, float]:
        hits = requests_of(self._table, self._window, servers)
        return {each.server_id: self._utilisation(hits[each.server_id], each) for each in servers}

    def _utilisation(self, hits: float, server: ServerCapacity) -> float:
        return utilisation(hits, server, self._window)
