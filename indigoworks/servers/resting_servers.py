"""Servers that asked for rest, and until when."""

from collections.abc import Callable, Iterable

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.servers.server_record import ServerRecord

MAX_REST_S = 600.0
"""Longest rest that is taken at its word. A server that asks for a year has a fault, and is asked
again after so long: one request then shows whether it still wants rest."""

MANY = 2
"""A server rests for all once it has asked so many gateways for rest: one alone may have been
turned away for a reason of its own, and its word would take the server from everyone."""


class RestingServers:
    """Wishes of servers for rest, as they were told to this process and to its peers.

    What was told to this process binds it. What was told to peers says which servers are better
    spared, and which should lose their keys, but refuses nobody: else all gateways might believe on
    each other's word that a whole service rests, and nobody would ever learn that it does not.

    A later answer only lengthens a rest: the one that asked for longer may have overtaken it, or
    been overtaken, and what it asked for still holds.

    :ivar on_change: called when a server has asked this process for rest.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._until_s: dict[str, float] = {}
        self._told_until_s: dict[str, dict[int, float]] = {}
        self.on_change: Callable[[], None] = _nothing

    # ---- changes ----

    def record(self, server: ServerRecord, rest_s: float) -> None:
        """Take the wish of a server for `rest_s` seconds of rest from now on."""
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

    def record_from_peer(self, server: ServerRecord, tellers: Iterable[int], left_s: float) -> None:
        """Take from a peer that a server asked other gateways, `tellers`, for rest."""
        if left_s <= 0:
            return
        until_s = self._clock.now() + min(left_s, MAX_REST_S)
        known = self._told_until_s.setdefault(server.server_id, {})
        for teller in tellers:
            known[teller] = max(until_s, known.get(teller, until_s))

    def drop_ended(self) -> None:
        """Forget the rests that are over."""
        for server_id in {*self._until_s, *self._told_until_s}:
            self.left_s(server_id)
            self._told_left_s(server_id)

    def forget(self, server_id: str) -> None:
        """Forget a server that left, or an earlier life of one."""
        self._until_s.pop(server_id, None)
        self._told_until_s.pop(server_id, None)

    # ---- questions ----

    def has_any(self) -> bool:
        """Tell whether any server may rest: a quick look that spares the one at each server."""
        return bool(self._until_s or self._told_until_s)

    def left_s(self, server_id: str) -> float:
        """Return for how much longer a server wants no request from this process; 0: it takes
        them."""
        until_s = self._until_s.get(server_id)
        if until_s is None:
            return 0.0
        left_s = until_s - self._clock.now()
        if left_s <= 0:
            del self._until_s[server_id]
            return 0.0
        return left_s

    def left_s_for_many(self, server_id: str) -> float:
        """Return for how much longer MANY gateways, this one perhaps among them, are asked for rest
        by a server; 0: there are not so many."""
        told = self._told_left_s(server_id)
        own_s = self.left_s(server_id)
        left_s = sorted([*told, own_s] if own_s else told, reverse=True)
        return left_s[MANY - 1] if len(left_s) >= MANY else 0.0

    def resting(self) -> Iterable[str]:
        """Return the servers that want no request from this process now."""
        return [each for each in list(self._until_s) if self.left_s(each) > 0]

    def _told_left_s(self, server_id: str) -> list[float]:
        """Return the rests of which peers told, and forget those that are over."""
        known = self._told_until_s.get(server_id)
        if known is None:
            return []
        now_s = self._clock.now()
        for teller in [each for each, until_s in known.items() if until_s <= now_s]:
            del known[teller]
        if not known:
            del self._told_until_s[server_id]
        return [until_s - now_s for until_s in known.values()]


def _nothing() -> None:
    """Stand in until somebody wants to know."""
