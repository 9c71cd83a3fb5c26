"""The servers of one zone, as a part of the list of servers."""

from collections.abc import Iterable

from indigoworks.common.clock import Clock
from indigoworks.servers.replacement_sign import ReplacementSign
from indigoworks.servers.server_record import ServerRecord
from indigoworks.servers.server_source import ServerSource

CACHE_S = 0.02
"""The usable servers are listed anew so often, and at once when the list has changed: a look at
each of 30 for each request took 0.1 of its 0.37 ms of processor time at a broker."""


class ZoneServers:
    """Implements `ServerSource`; only servers of its zone are usable for requests without a key."""

    def __init__(self, zone: str, servers: ServerSource, clock: Clock) -> None:
        self._zone = zone
        self._servers = servers
        self._clock = clock
        self._usable: dict[str, tuple[float, list[ServerRecord]]] = {}

    def usable(self, service: str) -> Iterable[ServerRecord]:
        """Return the servers of `service` in the zone that may get new work."""
        now_s = self._clock.now()
        known = self._usable.get(service)
        if known is not None and now_s < known[0]:
            return known[1]
        usable = [each for each in self._servers.usable(service) if each.zone == self._zone]
        self._usable[service] = (now_s + CACHE_S, usable)
        return usable

    def clear_cache(self) -> None:
        """Look at the list of servers anew: it has changed."""
        self._usable.clear()

    def known(self, service: str) -> Iterable[ServerRecord]:
        """Return the servers of `service` that are listed or were so a short time ago."""
        return self._servers.known(service)

    def get(self, server_id: str) -> ServerRecord | None:
        """Return a server that is listed or was so a short time ago, of any zone."""
        return self._servers.get(server_id)

    def is_listed(self, server_id: str) -> bool:
        """Tell whether the list has the server's entry."""
        return self._servers.is_listed(server_id)

    def is_usable(self, server_id: str) -> bool:
        """Tell whether the server may get new work."""
        return self._servers.is_usable(server_id)

    def is_cold(self, server_id: str) -> bool:
        """Tell whether a server bears few requests a second for a while."""
        return self._servers.is_cold(server_id)

    def may_serve_own_keys(self, server_id: str) -> bool:
        """Tell whether an owner may get requests for its keys until these have moved."""
        return self._servers.may_serve_own_keys(server_id)

    def has_resting(self) -> bool:
        """Tell whether any server may rest: a quick look that spares the one at each server."""
        return self._servers.has_resting()

    def rest_left_s(self, server_id: str) -> float:
        """Return 0: a wish for rest is told to one gateway, and each that asks for a slot names the
        servers that it must not get."""
        return 0.0

    def rest_left_s_for_many(self, server_id: str) -> float:
        """Return for how much longer several gateways are asked for rest by a server."""
        return self._servers.rest_left_s_for_many(server_id)

    def limit_per_s(self, server_id: str) -> float | None:
        """Return the requests a second that are passed on to a server; None: all."""
        return self._servers.limit_per_s(server_id)

    def is_gone(self, server_id: str) -> bool:
        """Tell whether the server's process is known to have ended."""
        return self._servers.is_gone(server_id)

    def note_replaced(self, server_id: str, by_server_id: str, sign: ReplacementSign) -> None:
        """Take note that another server answers at the address of `server_id`."""
        self._servers.note_replaced(server_id, by_server_id, sign)
