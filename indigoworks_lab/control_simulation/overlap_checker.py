"""No two servers that are up hold and work on the same keys."""

import asyncio
from collections.abc import Callable, Iterable
from itertools import combinations

from indigoworks_lab.control_simulation.held_keys import HeldKeys
from indigoworks_lab.control_simulation.interval_map import Piece
from indigoworks_lab.control_simulation.simulated_server import SimulatedServer
from indigoworks_lab.control_simulation.violation_list import ViolationList

CHECKER = "overlap"
MAX_OVERLAP_S = 0.5
PERIOD_S = 0.05

Pair = tuple[str, str]
Span = tuple[int, int]


class OverlapChecker:
    """Watches what servers hold, every PERIOD_S and whenever a request begins.

    Two servers may hold a key together for MAX_OVERLAP_S where only one of them begins requests on
    such keys meanwhile. Holds by grants that are not counted are left out.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        up_servers: Callable[[], Iterable[SimulatedServer]],
        violations: ViolationList,
    ) -> None:
        self._loop = loop
        self._up_servers = up_servers
        self._violations = violations
        self._since: dict[Pair, list[tuple[Span, float]]] = {}
        self._begun: dict[Pair, set[str]] = {}
        self._reported: set[Pair] = set()

    async def run(self) -> None:
        """Look at all servers, for ever."""
        while True:
            self.look()
            await asyncio.sleep(PERIOD_S)

    def look(self) -> None:
        """Compare all servers once."""
        held = [(each.server_id, self._counted(each)) for each in self._up_servers()]
        since: dict[Pair, list[tuple[Span, float]]] = {}
        for (left, left_pieces), (right, right_pieces) in combinations(held, 2):
            spans = _common(left_pieces, right_pieces)
            if spans:
                since[(left, right)] = self._followed((left, right), spans)
        self._since = since
        self._begun = {pair: names for pair, names in self._begun.items() if pair in since}
        self._reported = {pair for pair in self._reported if pair in since}

    def beginning(self, server_id: str, key: int) -> None:
        """A server begins a request."""
        for other in self._up_servers():
            if other.server_id == server_id or not self._holds(other, key):
                continue
            left, right = sorted((server_id, other.server_id), key=_order)
            begun = self._begun.setdefault((left, right), set())
            begun.add(server_id)
            if len(begun) == 2:
                self._violations.add(CHECKER, f"{left} and {right} both began work, key {key}")

    def _followed(self, pair: Pair, spans: list[Span]) -> list[tuple[Span, float]]:
        """Return since when each span is held by both; report a pair once that holds too long."""
        now_s = self._loop.time()
        followed: list[tuple[Span, float]] = []
        for span in spans:
            since_s = now_s
            for before, at_s in self._since.get(pair, ()):
                if before[0] <= span[1] and span[0] <= before[1]:
                    since_s = min(since_s, at_s)
            followed.append((span, since_s))
            if now_s - since_s > MAX_OVERLAP_S and pair not in self._reported:
                self._reported.add(pair)
                self._violations.add(
                    CHECKER,
                    f"{pair[0]} and {pair[1]} hold keys {span[0]}-{span[1]} together"
                    f" for {now_s - since_s:.2f} s",
                )
        return followed

    def _holds(self, server: SimulatedServer, key: int) -> bool:
        return any(piece.first <= key <= piece.last for piece in self._counted(server))

    def _counted(self, server: SimulatedServer) -> list[Piece[HeldKeys]]:
        now_s = self._loop.time()
        return [each for each in server.held() if each.value.counted_until_s > now_s]


def _order(server_id: str) -> int:
    return int(server_id[1:])


def _common(left: list[Piece[HeldKeys]], right: list[Piece[HeldKeys]]) -> list[Span]:
    return [
        (max(one.first, other.first), min(one.last, other.last))
        for one in left
        for other in right
        if one.first <= other.last and other.first <= one.last
    ]
