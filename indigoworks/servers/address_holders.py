"""Which listed server holds an address."""

from indigoworks.common.address import Address
from indigoworks.rowstore.store_version import StoreVersion
from indigoworks.servers.server_record import ServerRecord


class AddressHolders:
    """Finds the listed server that took over the address of another one.

    The servers are indexed by address, as a leader asks for every server with an open grant.
    """

    def __init__(self) -> None:
        self._records: dict[Address, dict[str, ServerRecord]] = {}
        self._first_versions: dict[str, StoreVersion] = {}

    def put(self, known: ServerRecord | None, record: ServerRecord) -> None:
        """Record a listed server in place of its earlier entry."""
        if known is not None:
            self.remove(known)
        self._records.setdefault(record.address, {})[record.server_id] = record
        self._first_versions.setdefault(record.server_id, record.version)

    def remove(self, record: ServerRecord) -> None:
        """Remove a server that is no longer listed at its address."""
        at_address = self._records.get(record.address, {})
        at_address.pop(record.server_id, None)
        if not at_address:
            self._records.pop(record.address, None)

    def forget(self, server_id: str) -> None:
        """Drop what is known of a server that vanished long ago."""
        self._first_versions.pop(server_id, None)

    def successor(self, record: ServerRecord) -> ServerRecord | None:
        """Return the listed server that took over the address of `record`, if there is one.

        The entry of an ended server stays listed for some heartbeats beside that of its successor.
        Only the later entry is evidence on the earlier server, and no proof of its end.
        """
        at_address = self._records.get(record.address, {}).values()
        later = [each for each in at_address if self._came_after(each, record)]
        return max(later, key=lambda each: each.version, default=None)

    def _came_after(self, one: ServerRecord, other: ServerRecord) -> bool:
        first = self._first_versions[one.server_id]
        other_first = self._first_versions.get(other.server_id, other.version)
        # A restored copy of the store may bring back an old entry, unless start times exclude it.
        may_be_old = one.started_ms == 0 and first.era != other_first.era
        return first > other_first and not may_be_old and not 0 < one.started_ms < other.started_ms
