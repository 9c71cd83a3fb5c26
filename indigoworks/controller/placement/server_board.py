"""How much of a service's key space each of its servers holds."""

from collections.abc import Iterable, Sequence

from indigoworks.wire.control_pb2 import RangeRecord, Server

MIN_SLOTS = 1
"""Slots counted for a server that reported none."""


class ServerBoard:
    """Key-space width per slot of the servers that may own ranges of one service.

    Ranges on their way to a server count for it already.
    """

    def __init__(self, servers: Iterable[Server], records: Iterable[RangeRecord]) -> None:
        """Count the ranges.

        :param servers: servers that may own ranges.
        :param records: ranges of the service.
        """
        self._servers = {server.name: server for server in servers}
        self._width = dict.fromkeys(self._servers, 0)
        for record in records:
            self.add(record.next_owner or record.owner, record)

    @property
    def servers(self) -> Sequence[Server]:
        """The servers that may own ranges, by name."""
        return [self._servers[name] for name in sorted(self._servers)]

    def add(self, server_name: str, record: RangeRecord) -> None:
        """Count `record` for a server; a server that may own nothing is passed over."""
        if server_name in self._width:
            self._width[server_name] += range_width(record)

    def remove(self, server_name: str, record: RangeRecord) -> None:
        """Count `record` no longer for a server."""
        if server_name in self._width:
            self._width[server_name] -= range_width(record)

    def density(self, server_name: str) -> float:
        """Return the width per slot of a server."""
        slots = max(MIN_SLOTS, self._servers[server_name].slots)
        return self._width[server_name] / slots

    def mean_density(self) -> float:
        """Return the width per slot over all servers; 0 where there are none."""
        slots = sum(max(MIN_SLOTS, server.slots) for server in self._servers.values())
        return sum(self._width.values()) / slots if slots else 0.0

    def lightest(self) -> Server | None:
        """Return the server with the least width per slot, or None where there is none."""
        if not self._servers:
            return None
        name = min(self._servers, key=lambda each: (self.density(each), each))
        return self._servers[name]

    def heaviest(self) -> Server | None:
        """Return the server with the most width per slot, or None where there is none."""
        if not self._servers:
            return None
        name = max(self._servers, key=lambda each: (self.density(each), each))
        return self._servers[name]


def range_width(record: RangeRecord) -> int:
    """Return the number of places in the range."""
    return record.end - record.start + 1
