"""A consistent snapshot of owners, servers, routers and settings at one version."""

from collections.abc import Mapping
from dataclasses import dataclass

from indigoworks.common.ring.range_assignment import RangeAssignment
from indigoworks.common.ring.range_table import RangeTable
from indigoworks.router.router_peer import RouterPeer
from indigoworks.router.server_record import ServerRecord
from indigoworks.settings.settings_resolver import SettingsResolver


@dataclass(frozen=True)
class RoutingView:
    """Immutable view; every change creates a new one.

    :ivar generation: generation of the control group.
    :ivar version: log index of the view; increases within a generation.
    :ivar settings_version: version of the settings tree in force.
    :ivar settings: resolves values from that tree.
    :ivar groups: names of the groups in that tree.
    :ivar tables: range table by service.
    :ivar servers: back ends by name.
    :ivar routers: live routers.
    :ivar routers_version: hash of that list, computed by the controllers; 0: no list received.
    """

    generation: int
    version: int
    settings_version: int
    settings: SettingsResolver
    groups: frozenset[str]
    tables: Mapping[str, RangeTable]
    servers: Mapping[str, ServerRecord]
    routers: tuple[RouterPeer, ...]
    routers_version: int = 0

    def assignment(self, service: str, position: int) -> RangeAssignment | None:
        """Return the range of `service` that contains `position`, or None."""
        table = self.tables.get(service)
        return None if table is None else table.find(position)

    def server(self, name: str, incarnation: str) -> ServerRecord | None:
        """Return the server if it is known, not lost and has that incarnation, else None."""
        record = self.servers.get(name)
        if record is None or record.incarnation != incarnation or record.is_lost:
            return None
        return record
