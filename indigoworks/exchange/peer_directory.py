"""Directory of the gateways, built from their rows in the store."""

import json
from collections.abc import Iterable, Sequence

from indigoworks.common.address import Address
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.rowstore.row import Row
from indigoworks.rowstore.store_version import NO_VERSION, StoreVersion

DIRECT_GATEWAYS = 16
"""Largest group in which each gateway reports to each: there a hub only adds a point of failure."""

PEER_PREFIX = "peer/"
"""Prefix of the keys of gateways' rows, before the name of the node."""


class PeerDirectory:
    """Gateways by node. Each process writes its row at its start; rows of removed machines stay."""

    def __init__(self, own_node: str) -> None:
        self._own_node = own_node
        self._peers: dict[str, PeerAddress] = {}
        self._versions: dict[str, StoreVersion] = {}

    def apply(self, rows: Sequence[Row]) -> None:
        """Apply rows of gateways; other rows are ignored."""
        for row in rows:
            if not row.key.startswith(PEER_PREFIX):
                continue
            node = row.key.removeprefix(PEER_PREFIX)
            if self._versions.get(node, NO_VERSION) >= row.version:
                continue
            self._versions[node] = row.version
            self._apply_row(node, row)

    def others(self) -> Iterable[PeerAddress]:
        """Return all gateways but this one."""
        return [each for node, each in self._peers.items() if node != self._own_node]

    def count_others(self) -> int:
        """Return the number of gateways but this one."""
        return len(self._peers) - (self._own_node in self._peers)

    def has_many(self) -> bool:
        """Return whether the group is large enough that each zone uses a hub and a relay."""
        return 1 + self.count_others() > DIRECT_GATEWAYS

    def has_any(self) -> bool:
        """Return whether any gateway is known, this one included."""
        return bool(self._peers)

    def get(self, node: str) -> PeerAddress | None:
        """Return a gateway; None: it is not known."""
        return self._peers.get(node)

    def boot_of(self, node: str) -> str | None:
        """Return the newest boot of a node according to the store; None: it is not known."""
        peer = self._peers.get(node)
        return None if peer is None else peer.boot

    def zone_of(self, node: str) -> str | None:
        """Return the zone of a gateway; None: it is not known."""
        peer = self._peers.get(node)
        return None if peer is None else peer.zone

    def _apply_row(self, node: str, row: Row) -> None:
        if row.is_removed:
            self._peers.pop(node, None)
            return
        try:
            entry = json.loads(row.value)
            address = Address(entry["host"], int(entry["port"]))
            capacity = float(entry.get("capacity", 1.0))
            self._peers[node] = PeerAddress(node, entry["boot"], entry["zone"], address, capacity)
        except (ValueError, KeyError, TypeError):
            self._peers.pop(node, None)


def encode_peer(peer: PeerAddress) -> bytes:
    """Return the value of a gateway's row."""
    return json.dumps(
        {
            "host": peer.address.host,
            "port": peer.address.port,
            "boot": peer.boot,
            "zone": peer.zone,
            "capacity": peer.capacity,
        }
    ).encode()
