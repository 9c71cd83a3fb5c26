"""After the faults end every key is served again in time."""

import asyncio
from collections.abc import Callable, Iterable

from indigoworks.ownership.ownership_table import KEY_COUNT
from indigoworks_lab.control_simulation.interval_map import IntervalMap
from indigoworks_lab.control_simulation.server_entry import SERVICE
from indigoworks_lab.control_simulation.simulated_node import SimulatedNode
from indigoworks_lab.control_simulation.simulated_server import SimulatedServer
from indigoworks_lab.control_simulation.violation_list import ViolationList
from indigoworks_lab.control_simulation.work_lengths import LONG_S

CHECKER = "recovery"
RECOVER_S = 15.0
FINAL_S = LONG_S[1] + 0.5
"""Each key is seen served within the last so many seconds: a move that is under way may end, and it
waits for the longest work that runs on its keys."""

PERIOD_S = 0.25


class RecoveryChecker:
    """A key is served where all nodes send its requests to a server that holds it.

    :ivar served_again_s: seconds after the end of the faults until all keys were served at once;
        None: they never were.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        nodes: Callable[[], Iterable[SimulatedNode]],
        up_servers: Callable[[], Iterable[SimulatedServer]],
        violations: ViolationList,
    ) -> None:
        self.served_again_s: float | None = None
        self._loop = loop
        self._nodes = nodes
        self._up_servers = up_servers
        self._violations = violations

    async def run(self) -> None:
        """Watch from now, the end of the faults, for RECOVER_S."""
        begun_s = self._loop.time()
        served: IntervalMap[bool] = IntervalMap(False)
        while self._loop.time() < begun_s + RECOVER_S:
            now_served = self._served()
            if self.served_again_s is None and _is_whole(now_served):
                self.served_again_s = self._loop.time() - begun_s
            if self._loop.time() >= begun_s + RECOVER_S - FINAL_S:
                for piece in now_served.pieces():
                    if piece.value:
                        served.set(piece.first, piece.last, True)
            await asyncio.sleep(PERIOD_S)
        for piece in served.pieces():
            if not piece.value:
                self._violations.add(CHECKER, f"keys {piece.first}-{piece.last} are not served")

    def _served(self) -> IntervalMap[bool]:
        holders: IntervalMap[frozenset[str]] = IntervalMap(frozenset())
        for server in self._up_servers():
            for held in server.held():
                for piece in list(holders.pieces(held.first, held.last)):
                    names = piece.value | {server.server_id}
                    holders.set(piece.first, piece.last, names)
        served: IntervalMap[bool] = IntervalMap(True)
        for node in self._nodes():
            table = node.tables.table(SERVICE)
            if not table.ranges:
                served.set(0, KEY_COUNT - 1, False)
            for owned in table.ranges:
                is_open = node.can_send(owned.first)
                for piece in holders.pieces(owned.first, owned.last):
                    if not is_open or owned.server_id not in piece.value:
                        served.set(piece.first, piece.last, False)
        return served


def _is_whole(served: IntervalMap[bool]) -> bool:
    return all(piece.value for piece in served.pieces())
