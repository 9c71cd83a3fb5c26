"""Remembered choices of dispatchers."""

from indigoworks.router.dispatcher_choice import dispatcher_of
from indigoworks.router.router_peer import RouterPeer
from indigoworks.router.server_record import ServerRecord

MAX_ENTRIES = 10_000
"""Choices kept at most; then all are made anew."""


class DispatcherCache:
    """Makes the choice of `dispatcher_of` once for each server and list of routers.

    The choice looks at every router: made anew for each request it would cost more, the more
    routers there are.
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
        """Return what the function of that name returns for the same arguments."""
        self._clear_if_stale(routers, suspects)
        key = (server.name, server.zone)
        if key not in self._chosen:
            self._chosen[key] = dispatcher_of(server, routers, suspects)
        return self._chosen[key]

    def _clear_if_stale(
        self, routers: tuple[RouterPeer, ...], suspects: frozenset[RouterPeer]
    ) -> None:
        # By identity: views share the list while it does not change, and comparing it costs as
        # much as choosing.
        is_same = routers is self._routers and suspects == self._suspects
        if is_same and len(self._chosen) < MAX_ENTRIES:
            return
        self._routers = routers
        self._suspects = suspects
        self._chosen = {}
