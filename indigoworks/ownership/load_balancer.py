"""Which keys move because of load or because their server leaves."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from indigoworks.ownership.load_window import LoadWindow
from indigoworks.ownership.owned_range import OwnedRange
from indigoworks.ownership.ownership_table import OwnershipTable
from indigoworks.ownership.range_move import RangeMove

OVERLOAD_RATIO = 1.3
"""A server is too busy when it has so many times the mean load."""

SIGNIFICANCE = 2.5
"""And when it is so many standard deviations of its sample above the mean."""

MIN_UTILISATION = 0.5
"""Below this share of its slots a server is left alone."""

LEAVER_PARTS = 3
"""Parts into which the largest range of a leaving server is cut, so that its load spreads."""

MAX_MOVES = 4
"""Moves decided at once for balance."""

EXCESS = 1.2
"""A part may carry so many times what is wanted."""

HOT_KEY_UTILISATION = 0.7
"""A single key is hot when it keeps so much of its server busy: it cannot be cut."""

FASTER_RATIO = 1.25
"""Such a key moves to a server that is so many times as fast."""


@dataclass(frozen=True, slots=True)
class ServerCapacity:
    """What a server can do: requests a second while all of its slots are busy."""

    server_id: str
    requests_per_s: float


class LoadBalancer:
    """Decides from samples alone; nothing here sends or waits."""

    def __init__(self, table: OwnershipTable, window: LoadWindow) -> None:
        self._table = table
        self._window = window

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
            for first, last in self._parts(owned, min(LEAVER_PARTS, len(stayers))):
                target = min(stayers, key=lambda each: load[each.server_id])
                hits = self._window.count_between(first, last) + 0.5
                load[target.server_id] += self._utilisation(hits, target)
                moves.append(RangeMove(first, last, owned.server_id, target.server_id, reason))
        return moves

    def moves_for_balance(self, servers: Sequence[ServerCapacity]) -> list[RangeMove]:
        """Return moves from servers that are clearly too busy to those that are least so."""
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
            if not self._is_too_busy(load[busiest], mean, capacity[busiest]):
                break
            move = self._move_between(capacity[busiest], capacity[idlest], load, taken)
            if move is None:
                break
            moves.append(move)
        return moves

    # ---- parts ----

    def _is_too_busy(self, load: float, mean: float, server: ServerCapacity) -> bool:
        if load < MIN_UTILISATION or load < OVERLOAD_RATIO * mean:
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
            piece = self._piece(owned, wanted_hits)
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
            key, hits = self._hottest_key(owned)
            if self._utilisation(hits, server) < HOT_KEY_UTILISATION:
                continue
            fastest = max(servers, key=lambda each: each.requests_per_s)
            if fastest.requests_per_s > FASTER_RATIO * server.requests_per_s:
                taken.add(owned)
                return RangeMove(key, key, owned.server_id, fastest.server_id, "hot_key")
        return None

    def _hottest_key(self, owned: OwnedRange) -> tuple[int, float]:
        of_key: dict[int, float] = {}
        for key, weight in self._window.hits_between(owned.first, owned.last):
            of_key[key] = of_key.get(key, 0.0) + weight
        if not of_key:
            return owned.first, 0.0
        key = max(of_key, key=lambda each: of_key[each])
        return key, of_key[key]

    def _piece(self, owned: OwnedRange, wanted_hits: float) -> tuple[int, int] | None:
        """Return a part of a range that carries at most about `wanted_hits`; None: there is none.

        Of its two ends the one that carries more, and among equals the narrower one.
        """
        hits = self._window.hits_between(owned.first, owned.last)
        total = sum(weight for _, weight in hits)
        if total <= 0:
            return None
        if total <= wanted_hits * EXCESS:
            return owned.first, owned.last
        left = self._cut(hits, wanted_hits)
        right = self._cut(hits[::-1], wanted_hits)
        pieces: list[tuple[int, int]] = []
        if left is not None and left < owned.last:
            pieces.append((owned.first, left))
        if right is not None and right > owned.first:
            pieces.append((right, owned.last))
        return max(
            pieces,
            key=lambda each: (self._window.count_between(*each), each[0] - each[1]),
            default=None,
        )

    def _cut(self, hits: list[tuple[int, float]], wanted_hits: float) -> int | None:
        """Return the key up to which `hits` carry at most about what is wanted; None: none do."""
        total = 0.0
        cut: int | None = None
        index = 0
        while index < len(hits):
            key = hits[index][0]
            while index < len(hits) and hits[index][0] == key:
                total += hits[index][1]
                index += 1
            if total > wanted_hits * EXCESS:
                return cut
            cut = key
        return cut

    def _parts(self, owned: OwnedRange, count: int) -> list[tuple[int, int]]:
        """Cut a range into parts of equal load, or of equal width where nothing was sampled."""
        count = min(count, owned.width)
        hits = self._window.hits_between(owned.first, owned.last)
        if len(hits) < 2 * count:
            cuts = [owned.first + owned.width * index // count for index in range(1, count)]
        else:
            cuts = sorted({hits[len(hits) * index // count][0] for index in range(1, count)})
        firsts = [owned.first, *(cut for cut in cuts if cut > owned.first)]
        lasts = [*(first - 1 for first in firsts[1:]), owned.last]
        return list(zip(firsts, lasts, strict=True))

    def _loads(self, servers: Sequence[ServerCapacity]) -> dict[str, float]:
        load: dict[str, float] = {}
        for server in servers:
            hits = sum(
                self._window.count_between(each.first, each.last)
                for each in self._table.ranges_of(server.server_id)
            )
            load[server.server_id] = self._utilisation(hits, server)
        return load

    def _utilisation(self, hits: float, server: ServerCapacity) -> float:
        return hits / self._window.covered_s / server.requests_per_s
