"""One life of a gateway process, without HTTP."""

import asyncio
from random import Random

from result import Err

from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.exchange.peer_directory import PEER_PREFIX, PeerDirectory, encode_peer
from indigoworks.exchange.peer_report import PeerReport
from indigoworks.exchange.peer_table import PeerTable
from indigoworks.exchange.report_sender import ReportSource
from indigoworks.gateway.connect_tester import CONNECT_TIMEOUT_S
from indigoworks.gateway.control_subsystem import ControlSubsystem
from indigoworks.gateway.gateway_settings import GatewaySettings
from indigoworks.gateway.header_names import HeaderNames
from indigoworks.gateway.key_sampler import KeySampler
from indigoworks.gateway.owner_lookup import OwnerLookup, OwnerState
from indigoworks.gateway.platform_ports import PlatformPorts
from indigoworks.gateway.platform_subsystem import PlatformSubsystem
from indigoworks.gateway.request_sender import read_nothing
from indigoworks.gateway.server_stats import ServerStats
from indigoworks.ownership.control_group import CONTROL_TABLE
from indigoworks.ownership.ownership_tables import OwnershipTables
from indigoworks.reach.reach_subsystem import ReachSubsystem
from indigoworks.rowstore.probing_store import ProbingStore
from indigoworks.rowstore.store_health import StoreHealth
from indigoworks.rowstore.transaction import RowPut
from indigoworks.servers.server_record import ServerRecord
from indigoworks_lab.control_simulation.node_clock import NodeClock
from indigoworks_lab.control_simulation.node_exchange import NodeExchange
from indigoworks_lab.control_simulation.node_orders import NodeOrders
from indigoworks_lab.control_simulation.node_store import NodeStore
from indigoworks_lab.control_simulation.node_world import NodeWorld
from indigoworks_lab.control_simulation.send_stall import SendStall
from indigoworks_lab.control_simulation.server_entry import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    SERVERS_TABLE,
    SERVICE,
    read_configuration,
    read_evacuated_zone,
    read_server,
)
from indigoworks_lab.simulation.core.simulated_process import SimulatedProcess

REGISTER_RETRY_S = 0.3
REQUEST_PATIENCE_S = 1.0
REQUEST_TIMEOUT_S = 2.0
LOOK_AGAIN_S = 0.05


class SimulatedNode:
    """Builds and starts the parts that `indigoworks/gateway/gateway.py` does.

    :ivar tables: the owners as this node knows them.
    :ivar stall: stops the process before an order's bytes go out.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        boot: str,
        process: SimulatedProcess,
        world: NodeWorld,
        random: Random,
    ) -> None:
        self.name = settings.node
        self.boot = boot
        self.process = process
        self.tables = OwnershipTables()
        self._settings = settings
        self._world = world
        self.clock = self._clock = NodeClock(world.loop, random)
        self._peers = PeerTable(self._clock, settings.node)
        self._directory = PeerDirectory(settings.node)
        self._board = ServerStats(self._peers, self._clock)
        self._sampler = KeySampler()
        self.stall = SendStall(process, world, random)
        self._sequence = 0
        self._reported_loads: object = ()
        self._ports = self._make_ports()
        self._platform = PlatformSubsystem(self._ports, settings, self._clock)
        self._lookup = OwnerLookup(self.tables, self._platform.servers, self._board, self._clock)
        self.reach = ReachSubsystem(
            settings.node,
            boot,
            self._platform.servers,
            self._directory,
            self._can_connect,
            self._can_connect,
            self._clock,
            Random(f"{boot}:reach"),
        )
        self.control = ControlSubsystem(
            boot,
            settings,
            self._ports,
            self._platform,
            self.reach,
            self._peers,
            self._directory,
            self.tables,
            self._clock,
            random,
        )
        self._exchange = NodeExchange(
            self.name,
            settings.zone,
            world.datagrams,
            self._directory,
            self._peers,
            self._clock,
            ReportSource(
                self._make_report,
                self._has_news,
                self.control.apply_report,
                lambda: self.control.leadership.row.node,
            ),
        )
        self.control.use_server_stats(self._board)
        self.control.send_report_now = self._exchange.send_soon
        self.control.witnesses.send_datagram = self._exchange.send
        self._exchange.on_witness_datagram = self.control.witnesses.handle_datagram
        self._exchange.on_reach_datagram = self.reach.handle_datagram
        self.reach.send_datagram = self._exchange.send

    def start(self) -> None:
        """Start the tasks of the process."""
        address = self._settings.peer_address
        endpoint = (address.host, address.port)
        self._world.datagrams.attach(endpoint, self.name, self.process, self._exchange)
        for follower in self._platform.followers:
            self.process.spawn(follower.run())
        self.process.spawn(self.control.follow_rows())
        self.process.spawn(self._register())
        self.process.spawn(self._exchange.run())
        self.process.spawn(self.control.member.run())
        self.process.spawn(self.control.fitness.run())

    def can_send(self, key: int) -> bool:
        """Tell whether a request for a key would go out at once."""
        return self._lookup.find(SERVICE, key).state is OwnerState.READY

    def takes_for_ready(self, server_id: str) -> bool:
        """Tell whether a server may get new work."""
        return self._platform.servers.is_usable(server_id)

    def request(self, key: int, duration_s: float) -> None:
        """Take a request of a caller."""
        self.process.spawn(self._handle(key, duration_s))

    # ---- requests ----

    async def _handle(self, key: int, duration_s: float) -> None:
        self._sampler.add(SERVICE, key)
        until_s = self._clock.now() + REQUEST_PATIENCE_S
        while not self.can_send(key):
            if self._clock.now() > until_s:
                return
            await self._clock.sleep(LOOK_AGAIN_S)
        server = self._lookup.find(SERVICE, key).server
        assert server is not None
        started_s = self._board.start(server)
        is_served = await self._send(server, key, duration_s)
        self._board.finish(server, started_s, is_served)

    async def _send(self, server: ServerRecord, key: int, duration_s: float) -> bool:
        answer: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._world.run_outside(
            self._world.requests.carry(self.name, server, key, duration_s, answer)
        )
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                return await answer
        except TimeoutError:
            return False

    async def _can_connect(self, server: ServerRecord) -> bool:
        accepted: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._world.run_outside(self._world.orders.test_connection(self.name, server, accepted))
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                return await accepted
        except TimeoutError:
            return False

    # ---- parts ----

    def _make_ports(self) -> PlatformPorts:
        world, health = self._world, StoreHealth(self._clock)
        store = NodeStore(
            self.name, self.boot, world.store, health, self._clock, world.audit, world.run_outside
        )
        orders = NodeOrders(
            self.name,
            self.boot,
            world.orders,
            world.audit.ordering,
            self.stall,
            world.run_outside,
        )
        return PlatformPorts(
            names=HeaderNames(*([""] * 8)),
            store=ProbingStore(
                store,
                lambda: self._directory.count_others() + 1,
                self._directory.has_many,
                Random(f"{self.boot}:probes"),
                self._clock,
            ),
            health=health,
            orders=orders,
            configuration_table=CONFIGURATION_TABLE,
            configuration_key=CONFIGURATION_KEY,
            servers_table=SERVERS_TABLE,
            readiness_path="",
            read_configuration=read_configuration,
            read_server=read_server,
            read_evacuated_zone=read_evacuated_zone,
            read_server_load=lambda text: None,
            read_server_notice=read_nothing,
        )

    async def _register(self) -> None:
        peer = PeerAddress(self.name, self.boot, self._settings.zone, self._settings.peer_address)
        put = RowPut(CONTROL_TABLE, PEER_PREFIX + peer.node, encode_peer(peer))
        eras = self._ports.health.eras
        await eras.wait_known()
        while True:
            era = eras.current
            while isinstance(
                await self._ports.store.commit(self.control.group.transaction((), (put,))), Err
            ):
                await self._clock.sleep(REGISTER_RETRY_S)
            await eras.wait_after(era)

    def _has_news(self) -> bool:
        return self._board.loads() != self._reported_loads or self._sampler.has_samples()

    def _make_report(self) -> PeerReport:
        self._sequence += 1
        loads = self._reported_loads = self._board.loads()
        samples = self._sampler.drain()
        self._peers.add_samples(samples)
        leadership = self.control.leadership
        epoch = leadership.row.epoch
        return PeerReport(
            node=self.name,
            boot=self.boot,
            sequence=self._sequence,
            epoch=epoch,
            beat_age_s=leadership.liveness.beat_age_s(epoch),
            leader=self.control.beat(),
            loads=loads,
            samples=samples,
            retry_count=0,
            configuration_version=self.control.configuration_version(),
            group_version=self.control.group_version,
            operator_row_version=self._platform.operator_row_version,
        )
