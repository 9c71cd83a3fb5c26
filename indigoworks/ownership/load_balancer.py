"""Decides which keys move because of load or because their server is drained."""

from collections.abc import Mapping, Sequence
from dataclasses import replace

from indigoworks.ownership.load_window import LoadWindow
from indigoworks.ownership.owned_range import OwnedRange
from indigoworks.ownership.ownership_table import OwnershipTable
from indigoworks.ownership.range_move import RangeMove
from indigoworks.ownership.range_splitter import MAX_EXCESS_RATIO, RangeSplitter
from indigoworks.ownership.server_capacity import ServerCapacity
from indigoworks.ownership.server_load_share import requests_by_server, utilisation

OVERLOAD_RATIO = 1.3
"""A server is overloaded when its load is this many times the mean."""

SIGNIFICANCE = 2.5
"""And when its sampled requests are this many standard deviations above the mean."""

BURST_SIGNIFICANCE = 4.0
"""The same for a very short window, whose small samples vary more by chance."""

LIMITED_SIGNIFICANCE = 1.0
"""The same for a server that names a limit. Its capacity is known, and a server that gets three
requests a second with a limit of one has only four more in a sample of a second and a half."""

KEPT_UTILISATION = 0.3
"""A server that names a limit keeps keys for this share of it: its answers show when it ends."""

MIN_UTILISATION = 0.5
"""Below this share of its slots a server is never overloaded by a single key."""

HIGH_UTILISATION = 0.75
"""Below this share of its slots a server does not count as overloaded."""

DRAIN_PARTS = 3
"""Parts into which the busiest range of a drained server is split, so that its load spreads."""

WHOLE_DRAIN_RANGES = 4
"""A drained server with this many ranges gives them away whole. Otherwise each round in which all
servers are replaced would multiply the ranges, and each range is renewed separately."""

MAX_OVERLOAD_MOVES = 8
"""Overload moves decided at once: a range that became hot may need several servers at once."""

MAX_REBALANCE_MOVES = 4
SERVERS_PER_REBALANCE_MOVE = 6
"""Rebalancing moves decided at once: at most MAX_REBALANCE_MOVES, or one for every
SERVERS_PER_REBALANCE_MOVE servers if that is more. In a large group four in 1.5 s are too few: if
two thirds of 62 servers are slow and own as many keys as the others, requests wait for 15 s."""

HOT_KEY_UTILISATION = 0.7
"""A single key is hot when it uses this share of its server's slots: it cannot be split."""

MIN_COVERED_S = 4.0
"""Pressure is not compared before the window covers this time."""

MIN_SURPLUS = 0.15
"""Differences of pressure below twice this are ignored."""

MAX_TARGET_LOAD = 0.55
"""Rebalancing moves nothing to a server that uses more of its slots, unless the mean is higher."""

SLOW_RATIO = 1.4
"""A server is slow when a request takes this many times as long as at the median server."""

SLOW_PENALTY = 0.5
"""Pressure added to a server at which requests take twice as long as at the median one."""

FASTER_RATIO = 1.25
"""A hot key moves only to a server that is this many times as fast."""

REPEAT_FASTER_RATIO = 2.5
"""The same for a hot key that has already moved on its own: an overloaded server measures slower
than it is."""

MIN_ROOM = 0.1
"""Share of its slots by which the target of an overload move is below the level that moves aim at.
The least loaded server is the target if none is."""


class LoadBalancer:
    """Computes range moves from a table and a window of sampled requests."""

    def __init__(self, table: OwnershipTable, window: LoadWindow) -> None:
        self._table = table
        self._window = window
        self._splitter = RangeSplitter(window)

    def drain_moves(
        self, to_drain: Mapping[str, str], targets: Sequence[ServerCapacity]
    ) -> list[RangeMove]:
        """Return moves of all ranges of `to_drain` (server: reason) to the best targets."""
        load = self._loads(targets)
        penalty = _penalties(targets)
        moves: list[RangeMove] = []
        for owned in self._table.ranges:
            reason = to_drain.get(owned.server_id)
            if reason is None or not targets:
                continue
            for first, last in self._splitter.equal_parts(owned, self._part_count(owned, targets)):
                target = min(
                    targets, key=lambda each: load[each.server_id] + penalty[each.server_id]
                )
                hits = self._window.count_between(first, last) + 0.5
                load[target.server_id] += self._utilisation(hits, target)
                moves.append(RangeMove(first, last, owned.server_id, target.server_id, reason))
        return moves

    def overload_moves(
        self,
        servers: Sequence[ServerCapacity],
        limit: float,
        significance: float = SIGNIFICANCE,
    ) -> list[RangeMove]:
        """Return moves from servers that are clearly overloaded to fast ones with room.

        :param limit: share of its slots below which a server is not relieved.
        :param significance: standard deviations of its sample by which it must exceed the mean.
        """
        if len(servers) < 2:
            return []
        load = self._loads(servers)
        penalty = _penalties(servers)
        capacity = {each.server_id: each for each in servers}
        moves: list[RangeMove] = []
        left = list(self._table.ranges)
        hot = self._hot_key_move(servers, load, significance)
        if hot is not None:
            return [hot]
        relieved: set[str] = set()
        level = max(sum(load.values()) / len(load), MAX_TARGET_LOAD)
        for _ in range(MAX_OVERLOAD_MOVES):
            mean = sum(load.values()) / len(load)
            busiest = max(load, key=lambda each: load[each])
            target = _pick_target(load, penalty, level)
            # A server found overloaded needs no significance for further moves in this decision.
            margin = 0.0 if busiest in relieved else significance
            if capacity[busiest].is_limited:
                margin = min(margin, LIMITED_SIGNIFICANCE)
            if not self._is_overloaded(load[busiest], mean, capacity[busiest], limit, margin):
                break
            relieved.add(busiest)
            pair = (capacity[busiest], capacity[target])
            move = self._move_hits(*pair, self._wanted_hits(*pair, load, level), load, left)
            if move is None:
                break
            moves.append(move)
        return moves

    def rebalance_moves(self, servers: Sequence[ServerCapacity]) -> list[RangeMove]:
        """Return moves that even out the pressure on servers where differences are clear.

        Pressure is the share of slots in use, plus a penalty for a server that is clearly slower
        than most: while others have room, they answer a request sooner.
        """
        if len(servers) < 2 or self._window.covered_s < MIN_COVERED_S:
            return []
        load = self._loads(servers)
        penalty = _penalties(servers)
        capacity = {each.server_id: each for each in servers}
        pressure = {each: load[each] + penalty[each] for each in load}
        moves: list[RangeMove] = []
        left = list(self._table.ranges)
        most_load = max(MAX_TARGET_LOAD, sum(load.values()) / len(load))
        for _ in range(max(MAX_REBALANCE_MOVES, len(servers) // SERVERS_PER_REBALANCE_MOVE)):
            loaded = [each for each in load if load[each] > 0]
            if not loaded:
                break
            source = max(loaded, key=lambda each: pressure[each])
            target = min(load, key=lambda each: pressure[each])
            surplus = (pressure[source] - pressure[target]) / 2
            if surplus < MIN_SURPLUS or load[target] > most_load:
                break
            room = (most_load - load[target]) / self._utilisation(1.0, capacity[target])
            wanted_hits = min(surplus / self._utilisation(1.0, capacity[source]), room)
            move = self._move_hits(capacity[source], capacity[target], wanted_hits, load, left)
            if move is None:
                break
            pressure = {each: load[each] + penalty[each] for each in load}
            moves.append(move)
        return moves

    # ---- parts ----

    def _part_count(self, owned: OwnedRange, targets: Sequence[ServerCapacity]) -> int:
        """Return the number of parts into which a range of a drained server is split."""
        ranges = self._table.ranges_of(owned.server_id)
        busiest = max(
            ranges, key=lambda each: (self._window.count_between(each.first, each.last), each.width)
        )
        if owned is not busiest or len(ranges) >= WHOLE_DRAIN_RANGES:
            return 1
        return min(DRAIN_PARTS, len(targets))

    def _is_overloaded(
        self, load: float, mean: float, server: ServerCapacity, limit: float, significance: float
    ) -> bool:
        if load < limit or load < OVERLOAD_RATIO * mean:
            return False
        per_hit = self._utilisation(1.0, server)
        hits, mean_hits = load / per_hit, mean / per_hit
        return bool(hits - mean_hits > significance * hits**0.5)

    def _wanted_hits(
        self, busiest: ServerCapacity, target: ServerCapacity, load: dict[str, float], level: float
    ) -> float:
        """Return the requests to move: at most as many as bring `target` to `level`.

        What one server has no room for goes to another in the same decision. If no server is below
        `level`, the load of the two is evened out.
        """
        per_hit = self._utilisation(1.0, target)
        difference = load[busiest.server_id] - load[target.server_id]
        even = difference / (self._utilisation(1.0, busiest) + per_hit)
        room = (level - load[target.server_id]) / per_hit
        wanted_hits = min(even, room) if room > 0 else even
        if not busiest.is_limited:
            return wanted_hits
        spare = (load[busiest.server_id] - KEPT_UTILISATION) / self._utilisation(1.0, busiest)
        return min(wanted_hits, spare / MAX_EXCESS_RATIO)

    def _move_hits(
        self,
        busiest: ServerCapacity,
        target: ServerCapacity,
        wanted_hits: float,
        load: dict[str, float],
        left: list[OwnedRange],
    ) -> RangeMove | None:
        """Return a move of about `wanted_hits` requests off a server, hottest range first.

        :param left: ranges as earlier moves of this decision left them; is updated.
        """
        ranges = [each for each in left if each.server_id == busiest.server_id and not each.former]
        ranges.sort(key=lambda each: -self._window.count_between(each.first, each.last))
        for owned in ranges:
            piece = self._splitter.part_for_load(owned, wanted_hits)
            if piece is None:
                continue
            left.remove(owned)
            left.extend(_remainder(owned, *piece))
            hits = self._window.count_between(*piece)
            load[busiest.server_id] -= self._utilisation(hits, busiest)
            load[target.server_id] += self._utilisation(hits, target)
            return RangeMove(*piece, busiest.server_id, target.server_id, "load")
        return None

    def _hot_key_move(
        self, servers: Sequence[ServerCapacity], load: Mapping[str, float], significance: float
    ) -> RangeMove | None:
        """Return the move of a key that overloads its server on its own to a much faster one."""
        capacity = {each.server_id: each for each in servers}
        for owned in self._table.ranges:
            server = capacity.get(owned.server_id)
            if server is None or owned.former or load[owned.server_id] < MIN_UTILISATION:
                continue
            key, hits = self._splitter.hottest_key(owned)
            is_doubtful = hits < significance**2
            if is_doubtful or self._utilisation(hits, server) < HOT_KEY_UTILISATION:
                continue
            fastest = max(servers, key=lambda each: each.usable_per_s)
            ratio = REPEAT_FASTER_RATIO if owned.width == 1 else FASTER_RATIO
            if fastest.usable_per_s > ratio * server.usable_per_s:
                return RangeMove(key, key, owned.server_id, fastest.server_id, "hot_key")
        return None

    def _loads(self, servers: Sequence[ServerCapacity]) -> dict[str, float]:
        hits = requests_by_server(self._table, self._window, servers)
        return {each.server_id: self._utilisation(hits[each.server_id], each) for each in servers}

    def _utilisation(self, hits: float, server: ServerCapacity) -> float:
        return utilisation(hits, server, self._window)


def _remainder(owned: OwnedRange, first: int, last: int) -> list[OwnedRange]:
    """Return the parts of a range without the keys `first` to `last`."""
    before = [replace(owned, last=first - 1)] if owned.first < first else []
    after = [replace(owned, first=last + 1)] if last < owned.last else []
    return [*before, *after]


def _pick_target(load: Mapping[str, float], penalty: Mapping[str, float], level: float) -> str:
    """Return the server for a part of a hot range: a fast one of those with room."""
    with_room = [each for each in load if load[each] < level - MIN_ROOM]
    if not with_room:
        return min(load, key=lambda each: load[each])
    return min(with_room, key=lambda each: load[each] + penalty[each])


def _penalties(servers: Sequence[ServerCapacity]) -> dict[str, float]:
    """Return the pressure that slowness adds, by server; limits do not count as slowness."""
    times = {each.server_id: each.slots / each.requests_per_s for each in servers}
    if not times:
        return {}
    middle_s = sorted(times.values())[len(times) // 2]
    return {
        server_id: SLOW_PENALTY * (time_s / middle_s - 1) if time_s > SLOW_RATIO * middle_s else 0.0
        for server_id, time_s in times.items()
    }
