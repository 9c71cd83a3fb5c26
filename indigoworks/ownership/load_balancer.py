"""Which keys move because of load or because their server leaves."""

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
"""A server is too busy when it has so many times the mean load."""

SIGNIFICANCE = 2.5
"""And when it is so many standard deviations of its sample above the mean."""

BURST_SIGNIFICANCE = 4.0
"""The same over a very short time: chance shows more often in samples as short as that."""

LIMITED_SIGNIFICANCE = 1.0
"""The same for a server that names a limit: what it takes is known, and a server that gets three
requests a second where it takes one has only four more in a sample of a second and a half."""

KEPT_UTILISATION = 0.3
"""A server that names a limit keeps keys for so much of it: its answers tell when that ends."""

MIN_UTILISATION = 0.5
"""Below this share of its slots a server is never too busy for a single key."""

HIGH_UTILISATION = 0.75
"""From this share on a server is relieved at once."""

LEAVER_PARTS = 3
"""Parts into which the busiest range of a leaving server is cut, so that its load spreads."""

UNCUT_RANGES = 4
"""A leaving server with so many ranges gives them away whole: without this each round in which all
servers are replaced would multiply the ranges, and each of them is renewed by itself."""

MAX_MOVES = 8
"""Moves decided at once for balance: a range that turned hot may take several servers at once."""

MAX_EVEN_MOVES = 4
SERVERS_FOR_EACH_EVEN_MOVE = 6
"""Moves decided at once for evenness: so many, or one for each so many servers. Of 62 servers two
thirds may be slow ones that were given as many keys as the others: with four moves in 1.5 s their
requests would wait for 15 s."""

HOT_KEY_UTILISATION = 0.7
"""A single key is hot when it keeps so much of its server busy: it cannot be cut."""

MIN_COVERED_S = 4.0
"""Pressure is not judged before the window covers so much."""

MIN_SURPLUS = 0.15
"""Differences of pressure below twice this are left alone."""

MAX_TARGET_LOAD = 0.55
"""A server that uses more of its slots gets nothing for the sake of evenness, unless the servers do
so in the mean."""

SLOW_RATIO = 1.4
"""A server is slow when a request takes so many times as long as at the middle one."""

SLOW_PENALTY = 0.5
"""Pressure of a server at which requests take twice as long as at the middle one."""

FASTER_RATIO = 1.25
"""Such a key moves to a server that is so many times as fast."""

AGAIN_FASTER_RATIO = 2.5
"""And one that has moved by itself, again only to one that is so many times as fast: a server that
is too busy measures slower than it is."""

MIN_ROOM = 0.1
"""A server gets a part of a hot range only where so much of its slots is left up to its limit."""


class LoadBalancer:
    """Decides from samples alone; nothing here sends or waits."""

    def __init__(self, table: OwnershipTable, window: LoadWindow) -> None:
        self._table = table
        self._window = window
        self._cutter = RangeSplitter(window)

    def drain_moves(
        self, leavers: Mapping[str, str], stayers: Sequence[ServerCapacity]
    ) -> list[RangeMove]:
        """Return the moves that empty `leavers` (server and reason), to the best stayers."""
        load = self._loads(stayers)
        penalty = _penalties(stayers)
        moves: list[RangeMove] = []
        for owned in self._table.ranges:
            reason = leavers.get(owned.server_id)
            if reason is None or not stayers:
                continue
            for first, last in self._cutter.equal_parts(owned, self._parts_of(owned, stayers)):
                target = min(
                    stayers, key=lambda each: load[each.server_id] + penalty[each.server_id]
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
        """Return moves from servers that are clearly too busy to fast ones with room.

        :param limit: share of its slots below which a server is left alone.
        :param significance: standard deviations of its sample that it has to be above the mean.
        """
        if len(servers) < 2:
            return []
        load = self._loads(servers)
        penalty = _penalties(servers)
        capacity = {each.server_id: each for each in servers}
        moves: list[RangeMove] = []
        left = list(self._table.ranges)
        hot = self._move_of_hot_key(servers, load, significance)
        if hot is not None:
            return [hot]
        relieved: set[str] = set()
        level = max(sum(load.values()) / len(load), MAX_TARGET_LOAD)
        for _ in range(MAX_MOVES):
            mean = sum(load.values()) / len(load)
            busiest = max(load, key=lambda each: load[each])
            idlest = _with_room(load, penalty, level)
            # A server that was found too busy is relieved until it no longer is.
            margin = 0.0 if busiest in relieved else significance
            if capacity[busiest].is_limited:
                margin = min(margin, LIMITED_SIGNIFICANCE)
            if not self._is_too_busy(load[busiest], mean, capacity[busiest], limit, margin):
                break
            relieved.add(busiest)
            pair = (capacity[busiest], capacity[idlest])
            move = self._move_of(*pair, self._wanted_hits(*pair, load, level), load, left)
            if move is None:
                break
            moves.append(move)
        return moves

    def rebalance_moves(self, servers: Sequence[ServerCapacity]) -> list[RangeMove]:
        """Return moves that even out the pressure on servers, as far as differences are clear.

        Pressure is the share of slots in use, and more on a server that is clearly slower than
        most: while others have room, a request is answered sooner there.
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
        for _ in range(max(MAX_EVEN_MOVES, len(servers) // SERVERS_FOR_EACH_EVEN_MOVE)):
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
            move = self._move_of(capacity[source], capacity[target], wanted_hits, load, left)
            if move is None:
                break
            pressure = {each: load[each] + penalty[each] for each in load}
            moves.append(move)
        return moves

    # ---- parts ----

    def _parts_of(self, owned: OwnedRange, stayers: Sequence[ServerCapacity]) -> int:
        """Return into how many parts a range of a leaving server is cut."""
        ranges = self._table.ranges_of(owned.server_id)
        busiest = max(
            ranges, key=lambda each: (self._window.count_between(each.first, each.last), each.width)
        )
        if owned is not busiest or len(ranges) >= UNCUT_RANGES:
            return 1
        return min(LEAVER_PARTS, len(stayers))

    def _is_too_busy(
        self, load: float, mean: float, server: ServerCapacity, limit: float, significance: float
    ) -> bool:
        if load < limit or load < OVERLOAD_RATIO * mean:
            return False
        per_hit = self._utilisation(1.0, server)
        hits, mean_hits = load / per_hit, mean / per_hit
        return bool(hits - mean_hits > significance * hits**0.5)

    def _wanted_hits(
        self, busiest: ServerCapacity, idlest: ServerCapacity, load: dict[str, float], level: float
    ) -> float:
        """Return the requests to move: no more than bring the idlest server to `level`.

        What one server cannot take goes to the next in the same decision. With no server below
        `level` the two are evened out.
        """
        per_hit = self._utilisation(1.0, idlest)
        difference = load[busiest.server_id] - load[idlest.server_id]
        even = difference / (self._utilisation(1.0, busiest) + per_hit)
        room = (level - load[idlest.server_id]) / per_hit
        wanted_hits = min(even, room) if room > 0 else even
        if not busiest.is_limited:
            return wanted_hits
        spare = (load[busiest.server_id] - KEPT_UTILISATION) / self._utilisation(1.0, busiest)
        return min(wanted_hits, spare / MAX_EXCESS_RATIO)

    def _move_of(
        self,
        busiest: ServerCapacity,
        idlest: ServerCapacity,
        wanted_hits: float,
        load: dict[str, float],
        left: list[OwnedRange],
    ) -> RangeMove | None:
        """Return the move of about `wanted_hits` of a server; its hottest range goes first.

        :param left: what earlier moves of this decision have left of the ranges; is kept up.
        """
        ranges = [each for each in left if each.server_id == busiest.server_id and not each.former]
        ranges.sort(key=lambda each: -self._window.count_between(each.first, each.last))
        for owned in ranges:
            piece = self._cutter.part_for_load(owned, wanted_hits)
            if piece is None:
                continue
            left.remove(owned)
            left.extend(_rest(owned, *piece))
            hits = self._window.count_between(*piece)
            load[busiest.server_id] -= self._utilisation(hits, busiest)
            load[idlest.server_id] += self._utilisation(hits, idlest)
            return RangeMove(*piece, busiest.server_id, idlest.server_id, "load")
        return None

    def _move_of_hot_key(
        self, servers: Sequence[ServerCapacity], load: Mapping[str, float], significance: float
    ) -> RangeMove | None:
        """Return the move of a key that alone is too much for its server to a much faster one."""
        capacity = {each.server_id: each for each in servers}
        for owned in self._table.ranges:
            server = capacity.get(owned.server_id)
            if server is None or owned.former or load[owned.server_id] < MIN_UTILISATION:
                continue
            key, hits = self._cutter.hottest_key(owned)
            is_doubtful = hits < significance**2
            if is_doubtful or self._utilisation(hits, server) < HOT_KEY_UTILISATION:
                continue
            fastest = max(servers, key=lambda each: each.usable_per_s)
            ratio = AGAIN_FASTER_RATIO if owned.width == 1 else FASTER_RATIO
            if fastest.usable_per_s > ratio * server.usable_per_s:
                return RangeMove(key, key, owned.server_id, fastest.server_id, "hot_key")
        return None

    def _loads(self, servers: Sequence[ServerCapacity]) -> dict[str, float]:
        hits = requests_by_server(self._table, self._window, servers)
        return {each.server_id: self._utilisation(hits[each.server_id], each) for each in servers}

    def _utilisation(self, hits: float, server: ServerCapacity) -> float:
        return utilisation(hits, server, self._window)


def _rest(owned: OwnedRange, first: int, last: int) -> list[OwnedRange]:
    """Return what is left of a range when the keys `first` to `last` are taken out of it."""
    before = [replace(owned, last=first - 1)] if owned.first < first else []
    after = [replace(owned, first=last + 1)] if last < owned.last else []
    return [*before, *after]


def _with_room(load: Mapping[str, float], penalty: Mapping[str, float], level: float) -> str:
    """Return the server to which a part of a hot range goes: of those with room a fast one."""
    with_room = [each for each in load if load[each] < level - MIN_ROOM]
    if not with_room:
        return min(load, key=lambda each: load[each])
    return min(with_room, key=lambda each: load[each] + penalty[each])


def _penalties(servers: Sequence[ServerCapacity]) -> dict[str, float]:
    """Return the pressure that slowness adds, by server; a limit makes none slow."""
    times = {each.server_id: each.slots / each.requests_per_s for each in servers}
    if not times:
        return {}
    middle_s = sorted(times.values())[len(times) // 2]
    return {
        server_id: SLOW_PENALTY * (time_s / middle_s - 1) if time_s > SLOW_RATIO * middle_s else 0.0
        for server_id, time_s in times.items()
    }
