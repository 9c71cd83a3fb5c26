"""Selects the router that dispatches to a back end."""

from collections.abc import Collection, Iterable

import xxhash

from indigoworks.router.router_peer import RouterPeer
from indigoworks.router.server_record import ServerRecord


def dispatcher_of(
    server: ServerRecord, routers: Collection[RouterPeer], suspects: Collection[RouterPeer] = ()
) -> RouterPeer | None:
    """Return the dispatcher of `server`, or None if no router is eligible.

    Rendezvous hashing: all routers with the same list select the same dispatcher, and a router
    that joins or leaves moves only the servers it dispatches to. Routers in the server's zone are
    preferred; if there are none, all routers are eligible, so that every server has a dispatcher.

    :param suspects: routers that recently failed to answer or declined; they are skipped.
    """
    eligible = [router for router in routers if router not in suspects]
    nearby = [router for router in eligible if router.zone == server.zone]
    return _highest(server, nearby or eligible)


def _highest(server: ServerRecord, routers: Iterable[RouterPeer]) -> RouterPeer | None:
    return max(routers, key=lambda router: (_weight(server, router), router), default=None)


def _weight(server: ServerRecord, router: RouterPeer) -> int:
    return xxhash.xxh64_intdigest(f"{server.name}\0{router.name}\0{router.incarnation}".encode())
