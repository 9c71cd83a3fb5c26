"""Which keys move so that requests are answered sooner."""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from indigoworks.ownership.load_window import LoadWindow
from indigoworks.ownership.owned_range import OwnedRange
from indigoworks.ownership.ownership_table import OwnershipTable
from indigoworks.ownership.range_cutter import RangeCutter
from indigoworks.ownership.range_move import RangeMove
from indigoworks.ownership.server_capacity import ServerCapacity

MAX_LATENCY_MOVES = 8
"""Moves decided at once."""

MIN_GAIN_SHARE = 0.06
"""Moves are made only if they lower the expected time of all requests by this share."""

CANDIDATES = 3
"""Servers at either end that are looked at for a move."""

MOVED_SHARES = (1.0, 0.5)
"""Shares of a server's load that are looked at."""

SLOWER_RATIO = 1.35
"""Keys leave only a server whose requests take so many times as long as at the other one after the
move: measured times scatter."""

MIN_COVERED_S = 5.0
"""Nothing moves before the window covers so much."""

MAX_BUSY = 0.95
"""Share of its slots up to which the expected time of a request is reckoned."""


@dataclass(frozen=True, slots=True)
class _Candidate:
    owned: OwnedRange
    move: RangeMove
    gain: float


class LatencyBalancer:
    """Decides from samples and measured times alone; nothing here sends or waits."""

    def __init__(self, table: OwnershipTable, window: LoadWindow) -> None:
        self._table = table
        self._window = window
        self._cutter = RangeCutter(window)

    def moves(self, servers: Sequence[ServerCapacity]) -> list[RangeMove]:
        """Return moves that lower the expected time of all requests together.

        At low load a slow server holds back what a fast one would have done meanwhile; a fast one
        that is busy makes requests wait. Nothing moves unless all moves together gain enough.
        """
        if self._window.covered_s < MIN_COVERED_S:
            return []
        hits = requests_of(self._table, self._window, servers)
        total = sum(self._cost(each, hits[each.server_id]) for each in servers)
        moves: list[RangeMove] = []
        taken: set[OwnedRange] = set()
        gained = 0.0
        for _ in range(MAX_LATENCY_MOVES):
            best = self._best_latency_move(servers, hits, taken)
            if best is None:
                break
            gained += best.gain
            taken.add(best.owned)
            moved = self._window.count_between(best.move.first, best.move.last)
            hits[best.move.from_server] -= moved
            hits[best.move.to_server] += moved
            moves.append(best.move)
        return moves if gained > MIN_GAIN_SHARE * total else []

    def _best_latency_move(
        self,
        servers: Sequence[ServerCapacity],
        hits: Mapping[str, float],
        taken: set[OwnedRange],
    ) -> _Candidate | None:
        """Return the move between one of the slowest and one of the quickest that gains most."""
        times = {each.server_id: self._time_s(each, hits[each.server_id]) for each in servers}
        by_time = sorted(servers, key=lambda each: times[each.server_id])
        sources = [each for each in by_time[::-1] if hits[each.server_id] > 0]
        best: _Candidate | None = None
        for source in sources[:CANDIDATES]:
            for target in by_time[:CANDIDATES]:
                for share in MOVED_SHARES:
                    found = self._candidate(source, target, share, hits, taken)
                    if found is not None and (best is None or found.gain > best.gain):
                        best = found
        return best

    def _candidate(
        self,
        source: ServerCapacity,
        target: ServerCapacity,
        share: float,
        hits: Mapping[str, float],
        taken: set[OwnedRange],
    ) -> _Candidate | None:
        if source is target:
            return None
        wanted = hits[source.server_id] * share
        for owned in self._table.ranges_of(source.server_id):
            if owned in taken or owned.former:
                continue
            piece = self._cutter.piece(owned, wanted)
            if piece is None:
                continue
            moved = self._window.count_between(*piece)
            gain = (
                self._cost(source, hits[source.server_id])
                + self._cost(target, hits[target.server_id])
                - self._cost(source, hits[source.server_id] - moved)
                - self._cost(target, hits[target.server_id] + moved)
            )
            new_time_s = self._time_s(target, hits[target.server_id] + moved)
            if self._time_s(source, hits[source.server_id]) < SLOWER_RATIO * new_time_s:
                return None
            move = RangeMove(*piece, source.server_id, target.server_id, "latency")
            return _Candidate(owned, move, gain) if gain > 0 else None
        return None

    def _cost(self, server: ServerCapacity, hits: float) -> float:
        """Return the expected time of all requests of a server together, in seconds a second."""
        return max(0.0, hits) / self._window.covered_s * self._time_s(server, hits)

    def _time_s(self, server: ServerCapacity, hits: float) -> float:
        """Return the expected time of one request, by the approximation for several slots."""
        busy = min(utilisation(max(0.0, hits), server, self._window), MAX_BUSY)
        service_s = server.slots / server.requests_per_s
        exponent = math.sqrt(2 * (server.slots + 1)) - 1
        waiting: float = busy**exponent / (server.slots * (1 - busy))
        return service_s * (1 + waiting)


def requests_of(
    table: OwnershipTable, window: LoadWindow, servers: Sequence[ServerCapacity]
) -> dict[str, float]:
    """Return by server the requests of a window for the keys that it owns."""
    return {
        server.server_id: sum(
            window.count_between(each.first, each.last)
            for each in table.ranges_of(server.server_id)
        )
        for server in servers
    }


def utilisation(requests: float, server: ServerCapacity, window: LoadWindow) -> float:
    """Return the share of its slots that so many requests in the window keep busy."""
    return requests / window.covered_s / server.requests_per_s
