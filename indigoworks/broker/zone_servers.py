"""View of the server list that is limited to one zone."""

from collections.abc import Iterable

from indigoworks.common.clock import Clock
from indigoworks.servers.replacement_evidence import ReplacementEvidence
from indigoworks.servers.server_record import ServerRecord
from indigoworks.servers.server_source import ServerSource

CACHE_S = 0.02
"""Time for which the usable servers are cached, unless the list changes. Checking each of 30
servers for every request takes about a quarter of the processor time that a broker needs for it."""


class ZoneServers:
    """Implements `ServerSource`; only servers of its zone are usable for requests without a key."""

    def __init__(self, zone: str, servers: ServerSource, clock: Clock) -> None:
        self._zone = zone
        self._servers = servers
        self._clock = clock
        self._usable: dict[str, tuple[float, list[ServerRecord]]] = {}

    def usable(self, service: str) -> Iterable[ServerRecord]:
        """Return the servers of `service` in the zone that may get new requests."""
        now_s = self._clock.now()
        known = self._usable.get(service)
        if known is not None and now_s < known[0]:
            return known[1]
        usable = [each for each in self._servers.usable(service) if each.zone == self._zone]
        self._usable[service] = (now_s + CACHE_S, usable)
        return usable

    def clear_cache(self) -> None:
        """Discard the cached servers after a change of the list."""
        self._usable.clear()

    def known(self, service: str) -> Iterable[ServerRecord]:
        """Return the servers of `service` that are or recently were listed."""
        return self._servers.known(service)

    def get(self, server_id: str) -> ServerRecord | None:
        """Return a server of any zone that is or recently was listed, else None."""
        return self._servers.get(server_id)

    def is_listed(self, server_id: str) -> bool:
        """Tell whether the list has the server's entry."""
        return self._servers.is_listed(server_id)

    def is_usable(self, server_id: str) -> bool:
        """Tell whether the server may get new requests."""
        return self._servers.is_usable(server_id)

    def is_cold(self, server_id: str) -> bool:
        """Tell whether a server has just started and can handle few requests a second."""
        return self._servers.is_cold(server_id)

    def may_serve_own_keys(self, server_id: str) -> bool:
        """Tell whether an owner may get requests for its keys until these have moved."""
        return self._servers.may_serve_own_keys(server_id)

    def has_resting(self) -> bool:
        """Tell whether any server may have asked for rest: avoids checking each server."""
        return self._servers.has_resting()

    def rest_left_s(self, server_id: str) -> float:
        """Return 0: a rest applies to one gateway, which lists the server in SlotRequest.tried."""
        return 0.0

    def rest_left_s_for_many(self, server_id: str) -> float:
        """Return the remaining seconds of rest that a server asked several gateways for."""
        return self._servers.rest_left_s_for_many(server_id)

    def limit_per_s(self, server_id: str) -> float | None:
        """Return the rate limit of a server in requests a second, or None."""
        return self._servers.limit_per_s(server_id)

    def is_gone(self, server_id: str) -> bool:
        """Tell whether the server's process is known to have ended."""
        return self._servers.is_gone(server_id)

    def record_replaced(
        self, record: ServerRecord, by_server_id: str, evidence: ReplacementEvidence
    ) -> None:
        """Record that another server answers at the address of `record`."""
        self._servers.record_replaced(record, by_server_id, evidence)
