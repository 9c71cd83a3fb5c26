"""What is lost in the runs that measure the waits of keys."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from indigoworks_lab.control_simulation.control_deployment import ControlDeployment
from indigoworks_lab.control_simulation.lost_answers import LostAnswers
from indigoworks_lab.control_simulation.node_settings import node_zone
from indigoworks_lab.control_simulation.simulated_node import SimulatedNode
from indigoworks_lab.control_simulation.simulated_server import SimulatedServer
from indigoworks_lab.control_simulation.simulated_store import STORE
from indigoworks_lab.control_simulation.wait_meter import WaitMeter

ZONES = 3
SOON_S = 1.5
LONG_S = 30.0
FLAPS, FLAP_S = 20, 0.5
UNANSWERED_S = 0.6
"""Orders go unanswered for so long: one renewal at least."""

UNANSWERED_BEFORE_S = 0.5
"""They are answered again so long before the leader is lost."""


class WaitLosses:
    """Lets the losses of one run act; servers are spread over the zones in turn."""

    def __init__(self, deployment: ControlDeployment, meter: WaitMeter) -> None:
        self._deployment = deployment
        self._meter = meter
        self._links = deployment.links
        leader = deployment.leader()
        assert leader is not None, "no node leads"
        self._leader = leader
        self._servers = sorted(deployment.fleet.up(), key=lambda each: int(each.server_id[1:]))
        self._zone = node_zone(int(leader.name[1:]), ZONES)
        self._random = deployment.random("waits")

    async def nothing(self) -> None:
        """Only the moves of ranges for load make keys wait."""

    async def leader_back_soon(self) -> None:
        """The leader is killed; its node starts again soon."""
        await self._kill((self._leader,), SOON_S)

    async def leader_lost(self) -> None:
        """The leader's machine is lost."""
        await self._kill((self._leader,), LONG_S)

    async def leader_stopped(self) -> None:
        """The leader resigns and ends."""
        self._leader.process.spawn(self._leader.control.leadership.resign())
        await asyncio.sleep(1.0)
        await self._kill((self._leader,), SOON_S)

    async def leader_without_path(self) -> None:
        """The leader loses its path to all servers; store and peers reach it."""
        await self._cut_paths((self._leader,))

    async def most_without_path(self) -> None:
        """All nodes but one, the leader too, lose their path to all servers."""
        others = [each for each in self._deployment.living_nodes() if each is not self._leader]
        await self._cut_paths((self._leader, *others[:-1]))

    async def server_ended(self) -> None:
        """A server's process ends; its address refuses."""
        self._random.choice(self._servers).end()

    async def server_dark(self) -> None:
        """A server is cut off from all others and runs on."""
        await self._darken((self._random.choice(self._servers),), ())

    async def leader_and_server_ended(self) -> None:
        """A server ends together with the leader, whose node starts again soon."""
        self._random.choice(self._servers).end()
        await self._kill((self._leader,), SOON_S)

    async def leader_and_server_dark(self) -> None:
        """A server is cut off from all together with the leader, whose node starts again soon."""
        await asyncio.gather(
            self._darken((self._random.choice(self._servers),), ()),
            self._kill((self._leader,), SOON_S),
        )

    async def zone_killed(self) -> None:
        """The leader's zone is lost: its nodes are killed, its servers are cut off from all."""
        nodes = self._zone_nodes()
        await asyncio.gather(self._darken(self._zone_servers(), ()), self._kill(nodes, LONG_S))

    async def zone_ended(self) -> None:
        """The processes of the leader's zone end; the addresses of its servers refuse."""
        for server in self._zone_servers():
            server.end()
        await self._kill(self._zone_nodes(), LONG_S)

    async def zone_dark(self) -> None:
        """Each machine of the leader's zone is cut off from all others and runs on."""
        await self._darken(self._zone_servers(), self._zone_nodes())

    async def zone_cut(self) -> None:
        """The leader's zone is cut off from the others and the store; inside all goes on."""
        nodes, servers = self._zone_nodes(), self._zone_servers()
        inside = [*(each.name for each in nodes), *(str(each.address) for each in servers)]
        outside = [
            STORE,
            *(name for name in self._deployment.nodes if name not in inside),
            *(str(each.address) for each in self._servers if each not in servers),
        ]
        await self._cut(nodes, inside, outside)

    async def zone_cut_servers_listed(self) -> None:
        """As zone_cut, and the servers of the zone reach the store, so that they stay listed."""
        nodes, servers = self._zone_nodes(), self._zone_servers()
        names = [each.name for each in nodes]
        others = [name for name in self._deployment.nodes if name not in names]
        addresses = [str(each.address) for each in servers]
        far = [str(each.address) for each in self._servers if each not in servers]
        await asyncio.gather(
            self._cut(nodes, names, [STORE, *others, *far]),
            self._cut((), addresses, others),
        )

    async def unanswered_order(self) -> None:
        """A server leaves orders unanswered; soon after it the leader and another server end."""
        unanswering, ended = self._random.sample(self._servers, 2)
        self._deployment.orders.watcher = LostAnswers(unanswering)
        await asyncio.sleep(UNANSWERED_S)
        self._deployment.orders.watcher = None
        await asyncio.sleep(UNANSWERED_BEFORE_S)
        ended.end()
        await self._kill((self._leader,), SOON_S)

    # ---- what is lost ----

    def _zone_nodes(self) -> list[SimulatedNode]:
        nodes = self._deployment.living_nodes()
        return [each for each in nodes if node_zone(int(each.name[1:]), ZONES) == self._zone]

    def _zone_servers(self) -> list[SimulatedServer]:
        return [
            each
            for number, each in enumerate(self._servers, 1)
            if node_zone(number, ZONES) == self._zone
        ]

    async def _kill(self, nodes: Sequence[SimulatedNode], away_s: float) -> None:
        for node in nodes:
            node.process.kill(is_silent=True)
        await asyncio.sleep(away_s)
        for node in nodes:
            self._deployment.restart_node(node.name)

    async def leader_path_flaps(self) -> None:
        """Each second the path of whoever leads then is lost, and back after half a second."""
        for _ in range(FLAPS):
            leader = self._deployment.leader() or self._leader
            await self._cut_paths((leader,), FLAP_S)
            await asyncio.sleep(FLAP_S)

    async def _cut_paths(self, nodes: Sequence[SimulatedNode], for_s: float = LONG_S) -> None:
        names = [each.name for each in nodes]
        await self._cut(nodes, names, [str(each.address) for each in self._servers], for_s)

    async def _darken(
        self, servers: Sequence[SimulatedServer], nodes: Sequence[SimulatedNode]
    ) -> None:
        names = [*(str(each.address) for each in servers), *(each.name for each in nodes)]
        self._meter.lost_nodes.update(each.name for each in nodes)
        for name in names:
            self._links.darken(name)
        await asyncio.sleep(LONG_S)
        for name in names:
            self._links.lighten(name, self._deployment.loop.time())

    async def _cut(
        self,
        nodes: Sequence[SimulatedNode],
        inside: Sequence[str],
        outside: Sequence[str],
        for_s: float = LONG_S,
    ) -> None:
        self._meter.lost_nodes.update(each.name for each in nodes)
        for one in inside:
            for other in outside:
                self._links.cut(one, other)
        await asyncio.sleep(for_s)
        for one in inside:
            for other in outside:
                self._links.heal(one, other, self._deployment.loop.time())


WaitCase = Callable[[WaitLosses], Awaitable[None]]

WAIT_CASES: dict[str, WaitCase] = {
    name: getattr(WaitLosses, name.replace("-", "_"))
    for name in (
        "nothing",
        "leader-back-soon",
        "leader-lost",
        "leader-stopped",
        "leader-without-path",
        "most-without-path",
        "leader-path-flaps",
        "server-ended",
        "server-dark",
        "leader-and-server-ended",
        "leader-and-server-dark",
        "zone-killed",
        "zone-ended",
        "zone-dark",
        "zone-cut",
        "zone-cut-servers-listed",
        "unanswered-order",
    )
}
