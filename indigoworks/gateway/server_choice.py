"""Which server of a service gets a request that any of them may run."""

from collections.abc import Callable
from random import Random

from indigoworks.gateway.server_board import ServerBoard
from indigoworks.servers.server_record import ServerRecord
from indigoworks.servers.server_source import ServerSource

OTHER_ZONE_FACTOR = 1.7
"""A server of another zone must be this much better: bytes between zones cost. Of 1.25, 1.7 and 2.5
1.7 earned most on two days of aqaba-ferry (docs/deciding-under-load.md)."""


class ServerChoice:
    """Least expected time until the answer, by requests in flight and measured time of one.

    In a large group the loads that peers report are up to 0.4 s old, and many gateways choose by
    the same ones: the server that looks best to one looks best to all of its zone, which send it
    more than it can hold. There a server is drawn, in proportion to what it can take on now.

    :param is_large_group: tells whether there are so many gateways that their reports are old.
    """

    def __init__(
        self,
        servers: ServerSource,
        board: ServerBoard,
        zone: str,
        random: Random,
        is_large_group: Callable[[], bool] = lambda: False,
    ) -> None:
        self._servers = servers
        self._board = board
        self._zone = zone
        self._random = random
        self._is_large_group = is_large_group

    def usable(self, service: str) -> list[ServerRecord]:
        """Return the servers that may get new work and are not known to be out of reach."""
        records = list(self._servers.usable(service))
        reachable = [each for each in records if not self._board.is_down(each.server_id)]
        return reachable

    def best(self, servers: list[ServerRecord]) -> ServerRecord:
        """Return the server with the least expected time, or one drawn among those with a free
        slot; `servers` is not empty."""
        if self._is_large_group():
            drawn = self._draw(servers)
            if drawn is not None:
                return drawn
        return min(servers, key=self._cost)

    def _draw(self, servers: list[ServerRecord]) -> ServerRecord | None:
        """Draw a server with a free slot, of the own zone if there is one; None: none is free."""
        free = [each for each in servers if self._free_slots(each) > 0]
        near = [each for each in free if each.zone == self._zone]
        candidates = near or free
        if not candidates:
            return None
        # Requests a second that the free slots can take on.
        weights = [self._free_slots(each) / self._board.service_s(each) for each in candidates]
        return self._random.choices(candidates, weights)[0]

    def _free_slots(self, server: ServerRecord) -> int:
        return max(0, server.slots - self._board.in_flight(server.server_id))

    def _cost(self, server: ServerRecord) -> tuple[float, float]:
        waiting = max(0, self._board.in_flight(server.server_id) + 1 - server.slots)
        service_s = self._board.service_s(server)
        expected_s = service_s * (1 + waiting / server.slots)
        if server.zone != self._zone:
            expected_s *= OTHER_ZONE_FACTOR
        busy = self._board.in_flight(server.server_id) / server.slots
        return expected_s * (1 + busy), self._random.random()
