"""Which gateway sends how many requests a second to a server that is cold."""

from collections.abc import Callable
from functools import lru_cache

import xxhash

from indigoworks.common.clock import Clock
from indigoworks.exchange.peer_directory import PeerDirectory
from indigoworks.servers.cold_servers import ColdServers
from indigoworks.servers.server_record import ServerRecord

HOLDERS = 2
"""Gateways that share the rate of one cold server. With one, the loss of that gateway would leave
the server without work; an equal share for each of 79 would be a request in 12 s."""

RATE_SHARE = 0.8
"""Share of a cold server's rate that its holders send. While gateways know different members of
the group there may be twice as many holders: 2 x 0.8 x 6.7 a second and one request each, 15 in a
second, stay below the 18 that such a server is bound to (1.5 x 6.7 + 8)."""

BROKER_RATE_SHARE = 0.6
UNBROKERED_RATE_SHARE = 0.2
"""The same in a large group: of its broker, and of those who ask no broker because none answers
them. Two brokers at once and twice as many holders make 2 x (4.0 + 1) + 2 x 1.3 + 4, 17 in a
second, at 6.7 requests a second."""


class ColdBudget:
    """Shares out the requests that a cold server bears among a few gateways.

    The holders are those of the server's zone that come first by rendezvous hashing over the
    gateways that the store names: each gateway finds the same ones without a message, also while it
    hears no other. Rows of gateways that are gone leave their share unused. A holder spaces its
    requests evenly. Servers of keyed services are left out: their owner is the only server that can
    answer, and the leader gives cold ones no keys.

    :param is_broker: this process gives out places at the servers for all gateways.
    :param is_keyed: tells whether the servers of a service own keys.
    """

    def __init__(
        self,
        node: str,
        directory: PeerDirectory,
        cold: ColdServers,
        is_keyed: Callable[[str], bool],
        clock: Clock,
        is_broker: bool = False,
    ) -> None:
        self._node = node
        self._is_broker = is_broker
        self._directory = directory
        self._cold = cold
        self._is_keyed = is_keyed
        self._clock = clock
        self._next_s: dict[str, float] = {}

    def is_bound(self, server: ServerRecord) -> bool:
        """Tell whether the server may get requests at the rate of its holders only."""
        return (
            self._cold.has_any()
            and self._cold.is_cold(server)
            and not self._is_keyed(server.service)
        )

    def excludes_any(self) -> bool:
        """Tell whether any server may be cold and not for this gateway to send to."""
        return not self._is_broker and self._cold.has_any()

    def has_bound(self) -> bool:
        """Tell whether any server may be cold."""
        return self._cold.has_any()

    def is_holder(self, server: ServerRecord) -> bool:
        """Tell whether this gateway has a share of a cold server's rate."""
        return self._node in self._holders(server)

    def may_send(self, server: ServerRecord) -> bool:
        """Tell whether a request may go to the server now, as far as its coldness goes."""
        if not self.is_bound(server):
            return True
        if not self.is_holder(server):
            return False
        return self._clock.now() >= self._next_s.get(server.server_id, 0.0)

    def spend(self, server: ServerRecord) -> None:
        """Count a request that is about to go to a server."""
        if not self.is_bound(server):
            self._next_s.pop(server.server_id, None)
            return
        limit = self._cold.limit_of(server.service)
        assert limit is not None
        pause_s = len(self._holders(server)) / (self._rate_share() * limit.requests_per_s)
        self._next_s[server.server_id] = self._clock.now() + pause_s

    def slots_of(self, server: ServerRecord, service_s: float) -> float:
        """Return how many requests the server works on at a time as far as this gateway's share of
        its rate goes, each of which takes `service_s`."""
        limit = self._cold.limit_of(server.service)
        if limit is None or not self.is_bound(server):
            return server.slots
        rate_per_s = self._rate_share() * limit.requests_per_s / len(self._holders(server))
        return min(server.slots, rate_per_s * service_s)

    def gateways_for_each_holder(self, server: ServerRecord) -> float:
        """Return how many gateways of the server's zone each holder stands for."""
        members = self._members(server)
        return max(1.0, len(members) / HOLDERS)

    def _rate_share(self) -> float:
        if self._is_broker:
            return BROKER_RATE_SHARE
        return UNBROKERED_RATE_SHARE if self._directory.has_many() else RATE_SHARE

    def _holders(self, server: ServerRecord) -> tuple[str, ...]:
        if self._is_broker:
            return (self._node,)
        return _first_by_hash(server.server_id, self._members(server))

    def _members(self, server: ServerRecord) -> tuple[str, ...]:
        return self._directory.nodes_near(server.zone)


@lru_cache(maxsize=1024)
def _first_by_hash(server_id: str, members: tuple[str, ...]) -> tuple[str, ...]:
    ranked = sorted(members, key=lambda node: _digest(server_id, node))
    return tuple(ranked[:HOLDERS])


def _digest(server_id: str, node: str) -> int:
    return xxhash.xxh64_intdigest(f"{server_id}/{node}".encode())
