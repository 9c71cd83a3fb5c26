"""Replies to peers that ask which servers are reached from here."""

import asyncio
from collections.abc import Callable, Iterable
from random import Random

from indigoworks.common.clock import Clock
from indigoworks.exchange.reach_query import ReachQuery, ReachReply
from indigoworks.exchange.server_load import server_checksum
from indigoworks.reach.connect_test import ConnectTest
from indigoworks.reach.path_monitor import PathMonitor
from indigoworks.servers.server_record import ServerRecord

VALID_S = 1.0
"""Time for which the result of a test holds."""

MAX_TESTS = 3
"""Servers that are tested for one question, at most."""


class ReachResponder:
    """Tests servers that peers ask for, a few for each question, and keeps the results for a while.

    Servers that were not tested are presumed to be reached if a tested one was and they are not
    known to be out of reach.
    """

    def __init__(
        self,
        node: str,
        boot: str,
        path: PathMonitor,
        listed: Callable[[], Iterable[ServerRecord]],
        is_down: Callable[[str], bool],
        can_open: ConnectTest,
        clock: Clock,
        random: Random,
    ) -> None:
        self._node = node
        self._boot = boot
        self._path = path
        self._listed = listed
        self._is_down = is_down
        self._can_open = can_open
        self._clock = clock
        self._random = random
        self._accepted_s: dict[str, float] = {}
        self._tests: dict[str, asyncio.Task[bool]] = {}

    async def reply(self, query: ReachQuery) -> ReachReply:
        """Return which of the servers in a question are reached."""
        self._drop_stale()
        asked = set(query.servers)
        servers = [each for each in self._listed() if server_checksum(each.server_id) in asked]
        candidates = [each for each in servers if not self._is_down(each.server_id)]
        reached = await self._reached(candidates)
        checksums = tuple(server_checksum(each.server_id) for each in reached)
        return ReachReply(self._node, self._boot, query.number, checksums)

    async def _reached(self, candidates: list[ServerRecord]) -> list[ServerRecord]:
        if self._path.is_lost:
            return []
        untested = [each for each in candidates if not self._is_fresh(each)]
        tested = self._random.sample(untested, min(MAX_TESTS, len(untested)))
        results = await asyncio.gather(*(self._test(each) for each in tested))
        failed = {
            each.server_id
            for each, is_accepted in zip(tested, results, strict=True)
            if not is_accepted
        }
        is_any_reached = any(self._is_fresh(each) for each in candidates)
        if self._path.is_lost or not is_any_reached:
            return []
        return [each for each in candidates if each.server_id not in failed]

    def _drop_stale(self) -> None:
        earliest_s = self._clock.now() - VALID_S
        self._accepted_s = {
            each: at_s for each, at_s in self._accepted_s.items() if at_s >= earliest_s
        }

    def _is_fresh(self, server: ServerRecord) -> bool:
        accepted_s = self._accepted_s.get(server.server_id, float("-inf"))
        return self._clock.now() - accepted_s <= VALID_S

    async def _test(self, server: ServerRecord) -> bool:
        """Test a server; questions that come meanwhile share the result."""
        test = self._tests.get(server.server_id)
        if test is None:
            test = asyncio.ensure_future(self._run_test(server))
            self._tests[server.server_id] = test
            test.add_done_callback(lambda _: self._tests.pop(server.server_id, None))
        return await asyncio.shield(test)

    async def _run_test(self, server: ServerRecord) -> bool:
        is_accepted = await self._can_open(server)
        if is_accepted:
            self._accepted_s[server.server_id] = self._clock.now()
        return is_accepted
