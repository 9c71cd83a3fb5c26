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

LATE_GRANTS_S = 24.0
"""Where all gateways were down at once, keys of a server that has ended since may wait so long from
the return of the gateways: nobody knows whether a grant was under way to it and is yet to be taken
(13 s) and to hold (10 s: nobody knows either whether its leader had the store). Moves that begin
then have FINAL_S to end. All other keys are served within RECOVER_S even then."""

LOST_SPAN_S = 25.0
"""Where the store came back from a copy, keys that the lost span may have given to a server that
has ended since may wait so long from the moment at which a leader learns of it that has not
followed the group until then: the list settles (2.2 s) while leaders of before act for their lease
(6 s), and an order of theirs may be taken late (13 s) and hold (3 s, or 10 s)."""

LEAST_SHARE = 0.25
"""The users' rule: at least so much is served again within RECOVER_S."""

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
        self._back_s = float("-inf")
        self._unknown_s = float("-inf")
        self._returned_s = float("inf")

    def note_returned(self) -> None:
        """Take note that the store comes back from a copy now."""
        self._returned_s = self._unknown_s = self._loop.time()

    def note_started(self) -> None:
        """Take note that a gateway starts now; it knows nothing of a span that the store lost."""
        if self._returned_s < float("inf"):
            self._unknown_s = self._loop.time()

    def note_back(self) -> None:
        """Take note that a gateway starts again after all were down.

        The leader of before is known to have ended only when its own gateway is back.
        """
        self._back_s = self._loop.time()

    async def run(self) -> None:
        """Watch from now, the end of the faults, for RECOVER_S, and for late grants if need be."""
        begun_s = self._loop.time()
        served = await self._watch(begun_s, begun_s + RECOVER_S)
        late_s = max(self._back_s + LATE_GRANTS_S, self._unknown_s + LOST_SPAN_S)
        late_until_s = late_s + FINAL_S
        if late_until_s > self._loop.time() and not _is_whole(served):
            self._check_waiting(served)
            served = await self._watch(begun_s, late_until_s)
        for piece in served.pieces():
            if not piece.value:
                self._violations.add(CHECKER, f"keys {piece.first}-{piece.last} are not served")

    async def _watch(self, begun_s: float, until_s: float) -> IntervalMap[bool]:
        """Return which keys were seen served within the last FINAL_S before `until_s`."""
        served: IntervalMap[bool] = IntervalMap(False)
        while self._loop.time() < until_s:
            now_served = self._served()
            if self.served_again_s is None and _is_whole(now_served):
                self.served_again_s = self._loop.time() - begun_s
            if self._loop.time() >= until_s - FINAL_S:
                for piece in now_served.pieces():
                    if piece.value:
                        served.set(piece.first, piece.last, True)
            await asyncio.sleep(PERIOD_S)
        return served

    def _check_waiting(self, served: IntervalMap[bool]) -> None:
        """Check that every key which is not served waits for a server that has ended."""
        waiting = self._waiting_for_ended()
        served_count = 0
        for piece in served.pieces():
            if piece.value:
                served_count += piece.last - piece.first + 1
                continue
            for part in waiting.pieces(piece.first, piece.last):
                if not part.value:
                    keys = f"{part.first}-{part.last}"
                    self._violations.add(CHECKER, f"keys {keys} are not served, nor held")
        # Where all gateways started after the store came back, nobody remembers what was lost.
        is_remembered = not self._back_s >= self._returned_s
        if is_remembered and served_count < LEAST_SHARE * KEY_COUNT:
            self._violations.add(CHECKER, f"only {served_count} keys are served")

    def _waiting_for_ended(self) -> IntervalMap[bool]:
        """Return the keys of which the newest table names a former owner that has ended."""
        up = {each.server_id for each in self._up_servers()}
        tables = [node.tables.table(SERVICE) for node in self._nodes()]
        newest = max(tables, key=lambda each: each.version)
        waiting: IntervalMap[bool] = IntervalMap(False)
        for owned in newest.ranges:
            if any(each.server_id not in up for each in owned.former):
                waiting.set(owned.first, owned.last, True)
        return waiting

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
