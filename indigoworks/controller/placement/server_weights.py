"""Weight of each server: the weight of the ranges of one service that it owns."""

from collections.abc import Callable, Iterable, Sequence

from indigoworks.controller.placement.range_width import range_width
from indigoworks.wire.control_pb2 import RangeRecord, Server

MIN_SLOTS = 1
"""Slots counted for a server that reported none."""


class ServerWeights:
    """Weight and density (weight per slot) of the servers that may own ranges of one service.

    A range that is being handed over counts for its next owner.
    """

    def __init__(
        self,
        servers: Iterable[Server],
        records: Iterable[RangeRecord],
        weight_of: Callable[[RangeRecord], float] = range_width,
    ) -> None:
        """Sum up the weights.

        :param servers: servers that may own ranges.
        :param records: ranges of the service.
        :param weight_of: returns the weight of a range; its width by default.
        """
        self._servers = {server.name: server for server in servers}
        self._weight_of = weight_of
        self._weight: dict[str, float] = dict.fromkeys(self._servers, 0)
        for record in records:
            self.add(record.next_owner or record.owner, record)

    @property
    def servers(self) -> Sequence[Server]:
        """The servers that may own ranges, sorted by name."""
        return [self._servers[name] for name in sorted(self._servers)]

    def add(self, server_name: str, record: RangeRecord) -> None:
        """Add the weight of `record` to a server; servers that may not own ranges are ignored."""
        if server_name in self._weight:
            self._weight[server_name] += self._weight_of(record)

    def remove(self, server_name: str, record: RangeRecord) -> None:
        """Subtract the weight of `record` from a server."""
        if server_name in self._weight:
            self._weight[server_name] -= self._weight_of(record)

    def density(self, server_name: str) -> float:
        """Return the weight per slot of a server."""
        slots = max(MIN_SLOTS, self._servers[server_name].slots)
        return self._weight[server_name] / slots

    def mean_density(self) -> float:
        """Return the weight per slot over all servers; 0 without servers."""
        slots = sum(max(MIN_SLOTS, server.slots) for server in self._servers.values())
        return sum(self._weight.values()) / slots if slots else 0.0

    def lightest(self) -> Server | None:
        """Return the server with the lowest density, or None without servers."""
        if not self._servers:
            return None
        name = min(self._servers, key=lambda each: (self.density(each), each))
        return self._servers[name]

    def heaviest(self) -> Server | None:
        """Return the server with the highest density, or None without servers."""
        if not self._servers:
            return None
        name = max(self._servers, key=lambda each: (self.density(each), each))
        return self._servers[name]
