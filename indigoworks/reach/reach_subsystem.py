"""Builds the parts that know which servers are reached from here, and from peers."""

import asyncio
from collections.abc import Callable, Iterable
from random import Random

from indigoworks.common.address import Address
from indigoworks.common.clock import Clock
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.exchange.peer_directory import PeerDirectory
from indigoworks.exchange.reach_codec import decode_reach_datagram, encode_reach_datagram
from indigoworks.exchange.reach_query import ReachQuery
from indigoworks.reach.connect_test import ConnectTest
from indigoworks.reach.down_servers import DownServers
from indigoworks.reach.path_monitor import PathMonitor
from indigoworks.reach.peer_reach import PeerReach
from indigoworks.reach.reach_responder import ReachResponder
from indigoworks.servers.server_list import ServerList
from indigoworks.servers.server_record import ServerRecord

SendDatagram = Callable[[bytes, Address], None]


class ReachSubsystem:
    """The one place that tells whose fault it is where a server is not reached.

    :ivar path: whether this gateway has lost its path to all servers.
    :ivar down: servers out of reach from here.
    :ivar peers: which of them peers reach.
    :ivar send_datagram: sends a datagram of the exchange; set before anything fails.
    :ivar order_failures: returns the servers that orders of this process do not reach.
    :ivar changed: called when the path is lost or back, or peers' replies change.
    """

    def __init__(
        self,
        node: str,
        boot: str,
        servers: ServerList,
        directory: PeerDirectory,
        can_connect: ConnectTest,
        can_open: ConnectTest,
        clock: Clock,
        random: Random,
    ) -> None:
        self._servers = servers
        self._directory = directory
        self.path = PathMonitor(self._listed, can_connect, can_open, clock, random)
        self.down = DownServers(lambda: self.path.is_lost)
        self.send_datagram: SendDatagram = _ignore_datagram
        self.order_failures: Callable[[], Iterable[str]] = tuple
        self.peers = PeerReach(
            node, boot, directory, self._out_of_reach, self._send_query, clock, random
        )
        self._responder = ReachResponder(
            node,
            boot,
            self.path,
            self._listed,
            self.down.is_down,
            can_open,
            clock,
            random,
        )
        self._replies: set[asyncio.Task[None]] = set()
        self.changed: list[Callable[[], None]] = []
        self.path.on_lost(self._path_lost)
        self.path.on_back(self._path_back)
        self.peers.changed = self._notify

    def record_failure(self, server_id: str, is_silent: bool) -> None:
        """Record that a connection to a server failed or broke off, and ask peers about it.

        :param is_silent: there was no answer, not even a refusal.
        """
        self.path.record_failure(server_id, is_silent)
        self.peers.ask()

    def is_reached_by_peers_only(self, server_id: str) -> bool:
        """Return whether a server is out of reach from here and a peer reaches it."""
        return self.down.is_down(server_id) and self.peers.reaches(server_id)

    def handle_datagram(self, data: bytes) -> None:
        """Handle a question or a reply of a peer."""
        datagram = decode_reach_datagram(data)
        if datagram is None:
            return
        if isinstance(datagram, ReachQuery):
            task = asyncio.ensure_future(self._reply(datagram))
            self._replies.add(task)
            task.add_done_callback(self._replies.discard)
        else:
            self.peers.record_reply(datagram)

    def close(self) -> None:
        """End all tests, questions and replies."""
        self.path.close()
        self.peers.close()
        for task in self._replies:
            task.cancel()

    async def _reply(self, query: ReachQuery) -> None:
        asker = self._directory.get(query.node)
        if asker is None or asker.boot != query.boot:
            return
        reply = await self._responder.reply(query)
        self.send_datagram(encode_reach_datagram(reply), asker.address)

    def _send_query(self, query: ReachQuery, peer: PeerAddress) -> None:
        self.send_datagram(encode_reach_datagram(query), peer.address)

    def _listed(self) -> Iterable[ServerRecord]:
        return self._servers.listed()

    def _out_of_reach(self) -> list[str]:
        """Return the ids of the servers that requests or orders do not reach."""
        if self.path.is_lost:
            return [each.server_id for each in self._listed()]
        return sorted({*self.down.failed(), *self.order_failures()})

    def _path_lost(self) -> None:
        self.peers.ask()
        self._notify()

    def _path_back(self) -> None:
        self.down.forget_all()
        self._notify()

    def _notify(self) -> None:
        for listener in self.changed:
            listener()


def _ignore_datagram(data: bytes, address: Address) -> None:
    """Default of a callback until it is set."""
