"""A gateway's view of the cluster for the administration API."""

from collections.abc import Callable, Collection, Sequence

from result import Err, Ok, Result

from indigoworks.admin.control_plane_status import ControlPlaneStatus
from indigoworks.admin.errors import AdminError, BadAdminRequest, MethodNotAllowed
from indigoworks.admin.router_presence import RouterPresence
from indigoworks.common.clock import Clock
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.exchange.peer_directory import PeerDirectory
from indigoworks.exchange.peer_view import PeerView
from indigoworks.gateway.gateway_settings import GatewaySettings
from indigoworks.ownership.leadership import Leadership
from indigoworks.ownership.owned_range import OwnedRange
from indigoworks.ownership.ownership_table import KEY_COUNT
from indigoworks.ownership.ownership_tables import OwnershipTables
from indigoworks.routes.configuration_holder import ConfigurationHolder
from indigoworks.rowstore.store_version import StoreVersion
from indigoworks.servers.server_list import ServerList
from indigoworks.servers.server_record import ServerRecord
from indigoworks.wire.control_pb2 import (
    SERVER_STATE_LEAVING,
    SERVER_STATE_LIVE,
    SERVER_STATE_LOST,
    Configuration,
    ControlState,
    Member,
    RangeRecord,
    Server,
    ServerState,
)


class GatewayPlane:
    """Implements OwnershipPlane, read-only, from the state that this gateway follows.

    A server's id changes with each start, so name and incarnation are the same. A place in the key
    space is the key's number. Terms are the epochs of the leader's row.

    :param group_version: returns the version of the newest row of the control group applied here.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        boot: str,
        configurations: ConfigurationHolder,
        servers: ServerList,
        tables: OwnershipTables,
        peers: PeerView,
        directory: PeerDirectory,
        leadership: Leadership,
        group_version: Callable[[], StoreVersion],
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._boot = boot
        self._configurations = configurations
        self._servers = servers
        self._tables = tables
        self._peers = peers
        self._directory = directory
        self._leadership = leadership
        self._group_version = group_version
        self._clock = clock

    def status(self) -> ControlPlaneStatus:
        """Return role and progress of this gateway."""
        row = self._leadership.row
        version = self._group_version()
        return ControlPlaneStatus(
            member=self._own_member(),
            role="leader" if self._leadership.may_act() else "follower",
            generation=version.era,
            term=row.epoch,
            leader=self._member_of(row.node, row.boot) if row.node else None,
            commit_index=version.counter,
        )

    def state(self) -> ControlState:
        """Return servers, ranges and the version of the configuration."""
        configuration = self._configurations.current()
        state = ControlState(last_index=self._group_version().counter)
        state.settings_version = 0 if configuration is None else configuration.version
        state.servers.extend(self._server(each) for each in self._servers.listed())
        for service in self.known_services():
            table = self._tables.table(service)
            state.ranges.extend(_range(service, each) for each in table.ranges)
        return state

    def configuration(self) -> Configuration:
        """Return the group for the administration API: this gateway and the peers it hears."""
        heard = [
            self._member_of(each.node, each.boot)
            for each in sorted(self._peers.live_reports(), key=lambda report: report.node)
        ]
        return Configuration(voters=[self._own_member(), *heard])

    def known_services(self) -> Collection[str]:
        """Return the names of the services in force."""
        configuration = self._configurations.current()
        return () if configuration is None else sorted(configuration.services)

    def position_of(self, key: bytes) -> Result[int, AdminError]:
        """Return the key as a number."""
        if key.isdigit() and int(key) < KEY_COUNT:
            return Ok(int(key))
        return Err(
            BadAdminRequest(
                f"Key {key.decode('utf-8', 'backslashreplace')!r} is no number of a key.",
                f"Give a whole number from 0 to {KEY_COUNT - 1}.",
            )
        )

    async def routers(self) -> Sequence[RouterPresence]:
        """Return the peers whose reports arrived recently."""
        now_s = self._clock.now()
        return [
            RouterPresence(
                member=self._member_of(each.node, each.boot),
                settings_version=each.configuration_version,
                view_version=each.group_version.counter,
                since_poll_s=now_s - (self._peers.report_time_s(each.node) or now_s),
            )
            for each in self._peers.live_reports()
        ]

    async def drain_server(self, name: str) -> Result[None, AdminError]:
        """Refuse: a server announces its leaving in its own entry of the platform's list."""
        return Err(
            MethodNotAllowed(
                f"A gateway does not empty {name}: servers say themselves that they leave.",
                "Stop the server as the platform does; its entry then says that it is draining.",
            )
        )

    def _own_member(self) -> Member:
        settings = self._settings
        return Member(
            name=settings.node,
            incarnation=self._boot,
            zone=settings.zone,
            host=settings.peer_address.host,
            control_port=settings.peer_address.port,
            http_port=settings.metrics_address.port,
        )

    def _member_of(self, node: str, boot: str) -> Member:
        """Return a gateway from its address row, or with its names only if it has none."""
        if node == self._settings.node:
            return self._own_member()
        known = self._directory.get(node)
        return Member(name=node, incarnation=boot) if known is None else _member(known, boot)

    def _server(self, record: ServerRecord) -> Server:
        return Server(
            name=record.server_id,
            incarnation=record.server_id,
            service=record.service,
            zone=record.zone,
            host=record.address.host,
            port=record.address.port,
            slots=record.slots,
            state=self._state_of(record),
        )

    def _state_of(self, record: ServerRecord) -> ServerState.ValueType:
        if self._servers.is_gone(record.server_id):
            return SERVER_STATE_LOST
        if self._servers.is_usable(record.server_id):
            return SERVER_STATE_LIVE
        return SERVER_STATE_LEAVING


def _member(peer: PeerAddress, boot: str) -> Member:
    return Member(
        name=peer.node,
        incarnation=boot,
        zone=peer.zone,
        host=peer.address.host,
        control_port=peer.address.port,
    )


def _range(service: str, owned: OwnedRange) -> RangeRecord:
    return RangeRecord(
        service=service,
        start=owned.first,
        end=owned.last,
        owner=owned.server_id,
        owner_incarnation=owned.server_id,
        token=owned.token,
    )
