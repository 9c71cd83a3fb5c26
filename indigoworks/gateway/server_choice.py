"""Which server of a service gets a request that any of them may run."""

from random import Random

from indigoworks.gateway.server_board import ServerBoard
from indigoworks.servers.server_record import ServerRecord
from indigoworks.servers.server_source import ServerSource

OTHER_ZONE_FACTOR = 1.7
"""A server of another zone must be this much better: bytes between zones cost. Of 1.25, 1.7 and 2.5
1.7 earned most on two days of aqaba-ferry (docs/deciding-under-load.md)."""


class ServerChoice:
    """Least expected time until the answer, by requests in flight and measured time of one."""

    def __init__(
        self, servers: ServerSource, board: ServerBoard, zone: str, random: Random
    ) -> None:
        self._servers = servers
        self._board = board
        self._zone = zone
        self._random = random

    def usable(self, service: str) -> list[ServerRecord]:
        """Return the servers that may get new work and are not known to be out of reach."""
        records = list(self._servers.usable(service))
        reachable = [each for each in records if not self._board.is_down(each.server_id)]
        return reachable

    def best(self, servers: list[ServerRecord]) -> ServerRecord:
        """Return the server with the least expected time; `servers` is not empty."""
        return min(servers, key=self._cost)

    def _cost(self, server: ServerRecord) -> tuple[float, float]:
        waiting = max(0, self._board.in_flight(server.server_id) + 1 - server.slots)
        service_s = self._board.service_s(server)
        expected_s = service_s * (1 + waiting / server.slots)
        if server.zone != self._zone:
            expected_s *= OTHER_ZONE_FACTOR
        busy = self._board.in_flight(server.server_id) / server.slots
        return expected_s * (1 + busy), self._random.random()
