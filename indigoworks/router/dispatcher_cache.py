"""Cache of the dispatcher selected for each server."""

from indigoworks.router.dispatcher_choice import dispatcher_of
from indigoworks.router.router_peer import RouterPeer
from indigoworks.router.server_record import ServerRecord

MAX_ENTRIES = 10_000
"""Size at which the cache is cleared."""


class DispatcherCache:
    """Caches `dispatcher_of` by server for the current list of routers and suspects.

    The selection hashes every router, so its cost per request would grow with their number.
    """

    def __init__(self) -> None:
        self._routers: tuple[RouterPeer, ...] = ()
        self._suspects: frozenset[RouterPeer] = frozenset()
        self._chosen: dict[tuple[str, str], RouterPeer | None] = {}

    def dispatcher_of(
        self,
        server: ServerRecord,
        routers: tuple[RouterPeer, ...],
        suspects: frozenset[RouterPeer],
    ) -> RouterPeer | None:
        """Return the result of the function `dispatcher_of`, from the cache if possible."""
        self._clear_if_stale(routers, suspects)
        key = (server.name, server.zone)
        if key not in self._chosen:
            self._chosen[key] = dispatcher_of(server, routers, suspects)
        return self._chosen[key]

    def _clear_if_stale(
        self, routers: tuple[RouterPeer, ...], suspects: frozenset[RouterPeer]
    ) -> None:
        # Compared by identity: views share the list object until it changes, and comparing the
        # elements would cost as much as selecting.
        is_same = routers is self._routers and suspects == self._suspects
        if is_same and len(self._chosen) < MAX_ENTRIES:
            return
        self._routers = routers
        self._suspects = suspects
        self._chosen = {}
