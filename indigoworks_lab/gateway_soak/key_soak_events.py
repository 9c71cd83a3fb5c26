"""Events of a soak of servers that hold keys."""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

from indigoworks_lab.client.polling import becomes_true
from indigoworks_lab.gateway_soak.disturbed_world import DisturbedGateway, DisturbedWorld
from indigoworks_lab.gateway_soak.foreign_entry_event import ForeignEntryEvent
from indigoworks_lab.gateway_soak.gateway_waits import is_ready
from indigoworks_lab.gateway_soak.healed_path import HealedPath
from indigoworks_lab.gateway_soak.key_event_kind import KeyEventKind
from indigoworks_lab.gateway_soak.key_link import KeyLink
from indigoworks_lab.gateway_soak.key_link_faults import KeyLinkFaults, LinkKey
from indigoworks_lab.gateway_soak.key_plan_event import KeyPlanEvent
from indigoworks_lab.gateway_soak.key_server_place import KeyServerPlace
from indigoworks_lab.gateway_soak.late_grant_event import LateGrantEvent
from indigoworks_lab.gateway_soak.lost_path_gateways import lost_path_gateways
from indigoworks_lab.gateway_soak.lost_path_way import LostPathWay
from indigoworks_lab.gateway_soak.silent_connections_event import SilentConnectionsEvent
from indigoworks_lab.launcher.managed_process import ManagedProcess

STORE_MODES = ("slow", "down", "loses")
JUMPS_S = (20.0, -20.0)
MAX_LEADERS = 3
MAX_STOPPED_SHARE = 0.4
"""More servers than that are not stopped at once: the others take their keys, and work."""
LEAVE_LIMIT_S = 14.0
START_TIMEOUT_S = 40.0
RESTART_S = 1.0
KILLS = (KeyEventKind.KILL_LEADERS, KeyEventKind.LATE_GRANT_AT_KILL)
STUTTER_S = (0.02, 0.25)
"""Shares of time that a process on a busy machine gets none, one after the other with such that it
gets. It was not frozen by anybody: nothing is excused for it."""

Action = Callable[[KeyPlanEvent], Coroutine[Any, Any, None]]


class KeySoakEvents:
    """Does to a world what its plan says.

    :ivar healed: gateways that were thawed and links that healed so far.
    """

    def __init__(self, world: DisturbedWorld) -> None:
        self._world = world
        self._frozen: set[DisturbedGateway] = set()
        self._links = KeyLinkFaults(world)
        self.healed = self._links.healed
        self._late_grants = LateGrantEvent(world, self._links, self._end_gateway)
        self._actions: dict[KeyEventKind, Action] = {
            KeyEventKind.PAUSE_SERVER: self._pause_server,
            KeyEventKind.LONG_PAUSE_SERVER: self._pause_server,
            KeyEventKind.PAUSE_LEADER: self._pause_leader,
            KeyEventKind.PAUSE_GATEWAY: self._pause_gateway,
            KeyEventKind.STOP_LEADERS: self._end_leaders,
            KeyEventKind.KILL_LEADERS: self._end_leaders,
            KeyEventKind.KILL_SERVER: self._end_server,
            KeyEventKind.RESTART_SERVER: self._end_server,
            KeyEventKind.LEAVE_SERVER: self._leave,
            KeyEventKind.STORE: self._trouble,
            KeyEventKind.STORE_CLOCK: self._jump,
            KeyEventKind.STORE_RETURN: self._return,
            KeyEventKind.SERVER_LINK: self._cut_links,
            KeyEventKind.SERVER_LINKS: self._cut_links,
            KeyEventKind.STORE_LINK: self._cut_links,
            KeyEventKind.LEADER_LINKS: self._cut_links,
            KeyEventKind.GATEWAYS_WITHOUT_SERVERS: self._lose_path,
            KeyEventKind.LATE_GRANT_AT_KILL: self._late_grant,
            KeyEventKind.LATE_GRANT_AT_STOP: self._late_grant,
            KeyEventKind.BUSY: self._stutter,
            KeyEventKind.FOREIGN_ENTRY: ForeignEntryEvent(world).play,
            KeyEventKind.SILENT_CONNECTIONS: SilentConnectionsEvent(world).play,
            KeyEventKind.HOT: self._move_load,
        }

    async def play(self, plan: Sequence[KeyPlanEvent]) -> None:
        """Begin each event at its time."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        for event in plan:
            await asyncio.sleep(max(0.0, started_s + event.at_s - loop.time()))
            self._world.spawn(self._actions[event.kind](event))

    def heal_all(self) -> None:
        """End all pauses and cuts."""
        for gateway in list(self._frozen):
            self._thaw(gateway)
        for server in self._world.servers:
            server.thaw()
        self._links.heal_all()

    def end(self) -> None:
        """Stop disturbing, so that processes can be ended."""
        self._actions = dict.fromkeys(self._actions, self._nothing)

    async def _nothing(self, event: KeyPlanEvent) -> None:
        pass

    # ---- choices ----

    def _gateway(self, draw: float) -> DisturbedGateway:
        return self._world.gateways[int(draw * len(self._world.gateways))]

    def _server(self, draw: float) -> KeyServerPlace:
        return self._world.servers[int(draw * len(self._world.servers))]

    def _leader(self) -> DisturbedGateway | None:
        row = self._world.store.leader()
        return next((each for each in self._world.gateways if row and each.name == row.node), None)

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    # ---- pauses ----

    async def _pause_server(self, event: KeyPlanEvent) -> None:
        server = self._server(event.draws[0])
        stopped = sum(each.is_stopped for each in self._world.servers)
        enough = stopped >= MAX_STOPPED_SHARE * len(self._world.servers)
        if server.is_stopped or server.is_changing or enough:
            return
        server.freeze()
        await asyncio.sleep(event.duration_s)
        server.thaw()

    async def _pause_leader(self, event: KeyPlanEvent) -> None:
        leader = self._leader()
        if leader is not None:
            await self._freeze(leader, event.duration_s)

    async def _pause_gateway(self, event: KeyPlanEvent) -> None:
        await self._freeze(self._gateway(event.draws[0]), event.duration_s)

    async def _freeze(self, gateway: DisturbedGateway, duration_s: float) -> None:
        if gateway in self._frozen or gateway.is_restarting:
            return
        self._frozen.add(gateway)
        gateway.process.freeze()
        await asyncio.sleep(duration_s)
        self._thaw(gateway)

    def _thaw(self, gateway: DisturbedGateway) -> None:
        if gateway in self._frozen:
            self._frozen.discard(gateway)
            self.healed.append(HealedPath(self._world.sources[gateway.name], self._now_s()))
            gateway.process.thaw()

    async def _stutter(self, event: KeyPlanEvent) -> None:
        """Let all processes of gateways and servers stand still for moments."""
        first_s, last_s = STUTTER_S
        moment_s = first_s + (last_s - first_s) * event.draws[0]
        until_s = self._now_s() + event.duration_s
        owners: list[DisturbedGateway | KeyServerPlace] = []
        owners += [*self._world.gateways, *self._world.servers]
        await asyncio.gather(*(self._stutter_one(each, until_s, moment_s) for each in owners))

    async def _stutter_one(
        self, owner: DisturbedGateway | KeyServerPlace, until_s: float, moment_s: float
    ) -> None:
        process = owner.process
        while self._now_s() < until_s:
            if not self._stands_still(owner):
                process.freeze()
                try:
                    await asyncio.sleep(moment_s)
                finally:
                    if not self._stands_still(owner):
                        process.thaw()
            await asyncio.sleep(moment_s)

    def _stands_still(self, owner: DisturbedGateway | KeyServerPlace) -> bool:
        return owner.is_stopped if isinstance(owner, KeyServerPlace) else owner in self._frozen

    # ---- ends of processes ----

    async def _end_leaders(self, event: KeyPlanEvent) -> None:
        for _ in range(1 + int(event.draws[0] * MAX_LEADERS)):
            leader = self._leader()
            if leader is not None and not leader.is_restarting:
                leader.is_restarting = True
                self._thaw(leader)
                self._world.spawn(self._end_gateway(event.kind, leader, event.draws[1]))
            await asyncio.sleep(event.duration_s)

    async def _end_gateway(
        self, kind: KeyEventKind, gateway: DisturbedGateway, draw: float
    ) -> None:
        if kind in KILLS:
            gateway.kill()
            await gateway.ended()
        else:
            await gateway.stop()
        await asyncio.sleep(draw * RESTART_S)
        gateway.start()
        await becomes_true(lambda: is_ready(gateway), START_TIMEOUT_S)
        gateway.is_restarting = False

    async def _end_server(self, event: KeyPlanEvent) -> None:
        server = self._server(event.draws[0])
        if server.is_changing:
            return
        server.is_changing = True
        server.kill()
        await asyncio.sleep(event.duration_s)
        server.start(is_same=event.kind is KeyEventKind.RESTART_SERVER)
        await server.link.open()
        server.is_changing = False

    async def _leave(self, event: KeyPlanEvent) -> None:
        server = self._server(event.draws[0])
        if server.is_changing or server.is_stopped:
            return
        server.is_changing = True
        server.process.terminate()
        await becomes_true(lambda: _has_ended(server.process), LEAVE_LIMIT_S)
        server.kill()
        server.start()
        await server.link.open()
        server.is_changing = False

    # ---- the store ----

    async def _trouble(self, event: KeyPlanEvent) -> None:
        mode = STORE_MODES[int(event.draws[0] * len(STORE_MODES))]
        await self._world.store.trouble(mode, event.duration_s)

    async def _jump(self, event: KeyPlanEvent) -> None:
        jump_s = JUMPS_S[int(event.draws[0] * len(JUMPS_S))]
        await self._world.store.start_again(event.duration_s, jump_s)

    async def _return(self, event: KeyPlanEvent) -> None:
        await self._world.store.return_from_copy(event.duration_s, event.draws[0] * RESTART_S)

    # ---- links ----

    async def _cut_links(self, event: KeyPlanEvent) -> None:
        names = [each.name for each in self._world.gateways]
        places = [each.place for each in self._world.servers]
        gateway = self._gateway(event.draws[0])
        server = self._server(event.draws[1])
        if event.kind is KeyEventKind.LEADER_LINKS:
            gateway = self._leader() or gateway
        chosen: dict[KeyEventKind, list[LinkKey]] = {
            KeyEventKind.SERVER_LINK: [(server.place, gateway.name)],
            KeyEventKind.SERVER_LINKS: [(server.place, name) for name in names],
            KeyEventKind.STORE_LINK: [(None, gateway.name)],
            KeyEventKind.LEADER_LINKS: [(each, gateway.name) for each in (None, *places)],
        }

        def disturb(link: KeyLink, caller: str) -> None:
            if event.draws[2] < 1 / 3:
                link.cut(caller)
            else:
                link.fall_silent(caller, delivers=event.draws[2] < 2 / 3)

        begun = self._links.begin(chosen[event.kind], disturb)
        await asyncio.sleep(event.duration_s)
        self._links.heal(begun)

    async def _lose_path(self, event: KeyPlanEvent) -> None:
        leader = self._leader()
        names = [each.name for each in self._world.gateways]
        cut = lost_path_gateways(names, leader.name if leader else None, event.draws)
        ways = list(LostPathWay)
        way = ways[int(event.at_s * len(ways)) % len(ways)]
        begun = self.lose_path(cut, way)
        await asyncio.sleep(event.duration_s)
        self.heal(begun)

    def lose_path(self, gateways: Sequence[str], way: LostPathWay) -> list[LinkKey]:
        """Let gateways lose all servers; return the links to heal."""
        places = [each.place for each in self._world.servers]
        links = [(place, name) for name in gateways for place in places]
        return self._links.begin(links, way.disturb)

    def heal(self, links: Sequence[LinkKey]) -> None:
        """Heal links."""
        self._links.heal(links)

    async def _late_grant(self, event: KeyPlanEvent) -> None:
        await self._late_grants.play(event, self._leader())

    # ---- load ----

    async def _move_load(self, event: KeyPlanEvent) -> None:
        self._world.keys.move()


async def _has_ended(process: ManagedProcess) -> bool:
    return process.exit_code() is not None
