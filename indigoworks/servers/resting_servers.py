"""Resting servers: servers that asked to get no requests for a while.

A rest is the period for which a server asks a gateway to send it no requests, as with Retry-After.
"""

from collections.abc import Callable, Iterable

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.servers.server_record import ServerRecord

MAX_REST_S = 600.0
"""Upper bound of a rest. A server that asks for a year is faulty; it gets a request after this time
that shows whether it still wants rest."""

MANY = 2
"""Number of gateways that a server must ask for rest before it counts as resting for all. A single
gateway may be refused for a reason of its own, which must not remove the server for the others."""


class RestingServers:
    """Rests that servers asked of this process and of its peers.

    A rest that this process was asked for stops its requests to the server. Rests that peers were
    asked for lower the preference for a server, and may move its keys away, but refuse no request:
    otherwise all gateways might believe, from each other's reports, that a whole service rests,
    and no request would ever show that it does not.

    A later response only lengthens a rest: responses overtake each other, and the longest rest
    that was asked for still holds.

    :ivar on_change: called when a server has asked this process for rest.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._until_s: dict[str, float] = {}
        self._reported_until_s: dict[str, dict[int, float]] = {}
        self.on_change: Callable[[], None] = _nothing

    # ---- changes ----

    def record(self, server: ServerRecord, rest_s: float) -> None:
        """Record that a server asked this process for `rest_s` seconds of rest from now on."""
        left_s = min(rest_s, MAX_REST_S)
        known_left_s = self.left_s(server.server_id)
        if left_s <= known_left_s:
            return
        self._until_s[server.server_id] = self._clock.now() + left_s
        if known_left_s > 0:
            return
        log_message(
            message_type="server:asks_rest",
            level="WARNING",
            server=server.server_id,
            service=server.service,
            rest_s=rest_s,
        )
        self.on_change()

    def record_from_peer(
        self, server: ServerRecord, reporters: Iterable[int], left_s: float
    ) -> None:
        """Record a peer's report that a server asked the gateways `reporters` for rest."""
        if left_s <= 0:
            return
        until_s = self._clock.now() + min(left_s, MAX_REST_S)
        known = self._reported_until_s.setdefault(server.server_id, {})
        for reporter in reporters:
            known[reporter] = max(until_s, known.get(reporter, until_s))

    def drop_ended(self) -> None:
        """Remove the rests that are over."""
        for server_id in {*self._until_s, *self._reported_until_s}:
            self.left_s(server_id)
            self._reported_left_s(server_id)

    def forget(self, server_id: str) -> None:
        """Remove a server that left, or an earlier run of one."""
        self._until_s.pop(server_id, None)
        self._reported_until_s.pop(server_id, None)

    # ---- queries ----

    def has_any(self) -> bool:
        """Return whether any server may rest: a cheap check before those of each server."""
        return bool(self._until_s or self._reported_until_s)

    def left_s(self, server_id: str) -> float:
        """Return the seconds for which a server asks this process for rest; 0: it does not."""
        until_s = self._until_s.get(server_id)
        if until_s is None:
            return 0.0
        left_s = until_s - self._clock.now()
        if left_s <= 0:
            del self._until_s[server_id]
            return 0.0
        return left_s

    def left_s_for_many(self, server_id: str) -> float:
        """Return the seconds for which a server still asks at least MANY gateways for rest, this
        one included; 0: it asks fewer."""
        reported = self._reported_left_s(server_id)
        own_s = self.left_s(server_id)
        left_s = sorted([*reported, own_s] if own_s else reported, reverse=True)
        return left_s[MANY - 1] if len(left_s) >= MANY else 0.0

    def resting(self) -> Iterable[str]:
        """Return the servers that want no requests from this process now."""
        return [each for each in list(self._until_s) if self.left_s(each) > 0]

    def _reported_left_s(self, server_id: str) -> list[float]:
        """Return the rests that peers reported, and remove those that are over."""
        known = self._reported_until_s.get(server_id)
        if known is None:
            return []
        now_s = self._clock.now()
        for reporter in [each for each, until_s in known.items() if until_s <= now_s]:
            del known[reporter]
        if not known:
            del self._reported_until_s[server_id]
        return [until_s - now_s for until_s in known.values()]


def _nothing() -> None:
    """Do nothing: the default listener."""
