"""What a router knows about owners, servers, routers and settings at one version."""

from collections.abc import Mapping
from dataclasses import dataclass

from indigoworks.common.ring.range_assignment import RangeAssignment
from indigoworks.common.ring.range_table import RangeTable
from indigoworks.router.router_peer import RouterPeer
from indigoworks.router.server_record import ServerRecord
from indigoworks.settings.settings_resolver import SettingsResolver


@dataclass(frozen=True)
class RoutingView:
    """An immutable view; a change of anything makes a new one.

    :ivar generation: generation of the control group.
    :ivar version: log index that the view stands at; grows within a generation.
    :ivar settings_version: version of the settings tree in force.
    :ivar settings: values of that tree.
    :ivar groups: names of the groups that the tree knows.
    :ivar tables: ranges by service.
    :ivar servers: back ends by name.
    :ivar routers: live routers.
    :ivar routers_version: hash of that list, as the controllers give it; 0: none given yet.
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

    def assignment(self, service: str, place: int) -> RangeAssignment | None:
        """Return the range of `service` that holds `place`, or None where there is none."""
        table = self.tables.get(service)
        return None if table is None else table.find(place)

    def server(self, name: str, incarnation: str) -> ServerRecord | None:
        """Return that run of the server, or None when it is unknown or lost."""
        record = self.servers.get(name)
        if record is None or record.incarnation != incarnation or record.is_lost:
            return None
        return record
