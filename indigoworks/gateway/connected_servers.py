"""Preference for servers to which the gateway of a request has an idle connection.

The gateway names a few of them to the broker, which counts the slots and knows the service times.
"""

from collections.abc import Callable, Mapping, Sequence

from indigoworks.exchange.server_load import server_checksum
from indigoworks.gateway.connection_pool import ConnectionPool
from indigoworks.servers.server_record import ServerRecord

MAX_NAMED = 4
"""Servers named with a request. Servers of two slots of which 60 % are in use all have none free
in 2 % of cases if four are named."""

MAX_TIME_FACTOR = 1.25
"""A connected server is preferred if its expected service time is at most so many times that of
the best one."""

ConnectedServers = Callable[[str, str], tuple[int, ...]]
"""Returns the checksums of the servers of a service and zone that a request should name: at most
MAX_NAMED, that with the oldest idle connection first. So few connections stay open, rather than
many that are each closed before their next use."""


def no_connected_servers(service: str, zone: str) -> tuple[int, ...]:
    """Return nothing; implements `ConnectedServers`."""
    return ()


def oldest_connected(pools: Mapping[str, ConnectionPool]) -> tuple[int, ...]:
    """Return checksums of the servers with the oldest idle connections, see `ConnectedServers`.

    :param pools: by server id.
    """
    opened = [
        (opened_s, server_id)
        for server_id, pool in pools.items()
        if (opened_s := pool.idle_opened_s()) is not None
    ]
    return tuple(server_checksum(server_id) for _, server_id in sorted(opened)[:MAX_NAMED])


def prefer_connected(
    best: ServerRecord,
    servers: Sequence[ServerRecord],
    connected: Sequence[int],
    service_time_s: Callable[[ServerRecord], float],
) -> ServerRecord:
    """Return the first of the named servers that is nearly as fast as `best`, else `best`.

    :param servers: servers with a free slot that the request may be sent to.
    :param connected: checksums of the named servers, the preferred one first.
    :param service_time_s: returns the expected service time of a request at a server.
    """
    if not connected:
        return best
    free = {server_checksum(each.server_id): each for each in servers}
    longest_s = MAX_TIME_FACTOR * service_time_s(best)
    for checksum in connected[:MAX_NAMED]:
        server = free.get(checksum)
        if server is not None and service_time_s(server) <= longest_s:
            return server
    return best
