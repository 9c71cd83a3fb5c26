"""Choice of the router that dispatches to a back end."""

from collections.abc import Collection, Iterable

import xxhash

from indigoworks.router.router_peer import RouterPeer
from indigoworks.router.server_record import ServerRecord


def dispatcher_of(
    server: ServerRecord, routers: Collection[RouterPeer], suspects: Collection[RouterPeer] = ()
) -> RouterPeer | None:
    """Return the dispatcher of `server`, or None when no router is eligible.

    Rendezvous hashing: every router with the same list makes the same choice, and a router that
    joins or leaves moves only the servers that it dispatches to itself. Routers of the server's
    zone go first; when the zone has none, all routers are eligible, so that a server still has one
    dispatcher.

    :param suspects: routers that just failed to answer; they are passed over.
    """
    eligible = [router for router in routers if router not in suspects]
    nearby = [router for router in eligible if router.zone == server.zone]
    return _highest(server, nearby or eligible)


def _highest(server: ServerRecord, routers: Iterable[RouterPeer]) -> RouterPeer | None:
    return max(routers, key=lambda router: (_weight(server, router), router), default=None)


def _weight(server: ServerRecord, router: RouterPeer) -> int:
    return xxhash.xxh64_intdigest(f"{server.name}\0{router.name}\0{router.incarnation}".encode())
