"""Which servers peers reach that are out of reach from here."""

import asyncio
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from random import Random

from indigoworks.common.clock import Clock
from indigoworks.common.event_wait import wait_for_event
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.exchange.peer_directory import PeerDirectory
from indigoworks.exchange.reach_query import ReachQuery, ReachReply
from indigoworks.exchange.server_load import server_checksum

ASK_PERIOD_S = 0.25
"""Time between two questions while a server is out of reach."""

MIN_PAUSE_S = 0.02
"""Shortest time between two questions: servers fail one after the other when a path is lost."""

VALID_S = 0.6
"""Time for which a peer's reply holds: two may be lost, and a frozen peer gets no more soon."""

MAX_ASKED_PEERS = 8
"""Peers asked at a time in a large group: drawn anew each time, so that the cost does not grow with
the group."""

MAX_ASKED_SERVERS = 64
"""Servers named in one question."""

MAX_QUESTIONS = 32
"""Questions whose replies are still taken."""

MIN_REACHED_SHARE = 0.5
"""Share of a sample of servers from which a peer is taken to reach the others as well."""


@dataclass(frozen=True, slots=True)
class _Reply:
    at_s: float
    asked: frozenset[int]
    reached: frozenset[int]

    def includes(self, server: int) -> bool:
        """Return whether the peer reaches a server, by its checksum."""
        if server in self.asked or len(self.asked) < MAX_ASKED_SERVERS:
            return server in self.reached
        return len(self.reached) > MIN_REACHED_SHARE * len(self.asked)


class PeerReach:
    """Asks peers while servers are out of reach from here; costs nothing otherwise.

    :param out_of_reach: returns the ids of these servers.
    :param send: sends a question to a peer.
    :ivar changed: called when it becomes known that a peer reaches servers, or that none does.
    """

    def __init__(
        self,
        node: str,
        boot: str,
        directory: PeerDirectory,
        out_of_reach: Callable[[], Sequence[str]],
        send: Callable[[ReachQuery, PeerAddress], None],
        clock: Clock,
        random: Random,
    ) -> None:
        self._node = node
        self._boot = boot
        self._directory = directory
        self._out_of_reach = out_of_reach
        self._send = send
        self._clock = clock
        self._random = random
        self._replies: dict[str, _Reply] = {}
        self._asked: dict[int, frozenset[int]] = {}
        self._number = self._wanted = self._newest_replied = 0
        self._wanted_s = float("-inf")
        self._asking: asyncio.Task[None] | None = None
        self._replied = asyncio.Event()
        self._is_due = asyncio.Event()
        self.changed: Callable[[], None] = _nothing

    def ask(self) -> None:
        """Ask peers now, and from then on until no server is out of reach any more."""
        self._wanted = self._number + 1
        self._wanted_s = self._clock.now()
        self._is_due.set()
        if self._asking is None or self._asking.done():
            self._asking = asyncio.ensure_future(self._run())

    def record_reply(self, reply: ReachReply) -> None:
        """Record a peer's reply."""
        asked = self._asked.get(reply.number)
        if asked is None or reply.boot != self._directory.boot_of(reply.node):
            return
        known = self._replies.get(reply.node)
        reached = frozenset(reply.reached)
        self._replies[reply.node] = _Reply(self._clock.now(), asked, reached)
        self._newest_replied = max(self._newest_replied, reply.number)
        self._replied.set()
        if known is None or known.reached != reached:
            self.changed()

    def reaches(self, server_id: str) -> bool:
        """Return whether a peer reaches a server."""
        return bool(self._replies) and any(True for _ in self.peers_reaching([server_id]))

    def any_reaches(self) -> bool:
        """Return whether a peer reaches any of the servers that it was asked for."""
        oldest_s = self._clock.now() - VALID_S
        return any(each.reached and each.at_s >= oldest_s for each in self._replies.values())

    def peers_reaching(self, server_ids: Iterable[str]) -> list[PeerAddress]:
        """Return the peers that reach any of the servers, as they said within VALID_S."""
        servers = [server_checksum(each) for each in server_ids]
        oldest_s = self._clock.now() - VALID_S
        found = []
        for node, reply in self._replies.items():
            peer = self._directory.get(node)
            if peer is not None and reply.at_s >= oldest_s and any(map(reply.includes, servers)):
                found.append(peer)
        return found

    def count_reached(self, server_ids: Iterable[str]) -> int:
        """Return how many of the servers a peer reaches."""
        return sum(self.reaches(each) for each in server_ids)

    async def wait_for_reply(self, timeout_s: float) -> None:
        """Wait until a peer has replied to the newest question, at most `timeout_s` after it."""
        while self._newest_replied < self._wanted:
            left_s = self._wanted_s + timeout_s - self._clock.now()
            if left_s <= 0:
                return
            self._replied.clear()
            await wait_for_event(self._replied, left_s)

    def close(self) -> None:
        """Ask no more."""
        if self._asking is not None:
            self._asking.cancel()

    async def _run(self) -> None:
        while servers := self._out_of_reach():
            self._is_due.clear()
            self._ask_peers(servers)
            await self._clock.sleep(MIN_PAUSE_S)
            await wait_for_event(self._is_due, ASK_PERIOD_S - MIN_PAUSE_S)
        self._replies.clear()
        self._asked.clear()

    def _ask_peers(self, servers: Sequence[str]) -> None:
        if len(servers) > MAX_ASKED_SERVERS:
            servers = self._random.sample(servers, MAX_ASKED_SERVERS)
        checksums = tuple(server_checksum(each) for each in servers)
        self._number += 1
        self._asked = {
            number: asked
            for number, asked in self._asked.items()
            if number > self._number - MAX_QUESTIONS
        }
        self._asked[self._number] = frozenset(checksums)
        query = ReachQuery(self._node, self._boot, self._number, checksums)
        for peer in self._peers_to_ask():
            self._send(query, peer)

    def _peers_to_ask(self) -> list[PeerAddress]:
        """Return all peers of a small group; of a large one those that replied well, and others."""
        others = list(self._directory.others())
        if not self._directory.has_many():
            return others
        good = [each for each in others if self._is_good(each.node)]
        self._random.shuffle(good)
        good = good[: MAX_ASKED_PEERS // 2]
        rest = [each for each in others if each not in good]
        return good + self._random.sample(rest, min(MAX_ASKED_PEERS - len(good), len(rest)))

    def _is_good(self, node: str) -> bool:
        reply = self._replies.get(node)
        if reply is None or self._clock.now() - reply.at_s > VALID_S:
            return False
        return bool(reply.reached)


def _nothing() -> None:
    """Default of a callback until it is set."""
