"""A soak: gateway processes, a store, servers and callers, and a plan of events."""

import asyncio
import math
from random import Random

from gateway_soak_gateway import SoakGateway
from gateway_soak_server import SoakServer
from gateway_soak_store import SoakStore
from gateway_soak_wishes import ask_for_rest, name_limit
from platform_folder_store_stand_in import FOLDER  # noqa: F401 - makes header_names importable

from indigoworks_lab.gateway_soak.held_ports import HeldPorts
from indigoworks_lab.gateway_soak.soak_documents import DRAIN_S, configuration, server_entry

from header_names import HEADER_NAMES  # isort: skip

from indigoworks_lab.client.polling import becomes_true
from indigoworks_lab.gateway_soak.caller_limits_view import CallerLimitsView
from indigoworks_lab.gateway_soak.event_kind import EventKind
from indigoworks_lab.gateway_soak.gateway_waits import has_used, is_ready
from indigoworks_lab.gateway_soak.soak_caller import SoakCaller
from indigoworks_lab.gateway_soak.soak_history import SoakHistory
from indigoworks_lab.gateway_soak.time_span import TimeSpan

GATEWAYS = 3
SERVERS = 3
KEPT_CALLERS = 10
FRESH_CALLERS = 2
"""For each gateway."""

FIRST_IDLE_S = 1.6
FIRST_BODY_BYTES = 64 * 1024
APPLY_S = 2.5
HEARTBEAT_S = 1.0
START_TIMEOUT_S = 40.0
START_HANG_UP_CPU_S = (0.15, 0.7)
"""Processor time that a process has used by then: Python needs about 0.05 s before it begins on the
program, all until the program runs about 0.65 s."""

POLL_S = 0.01
RESTART_S = (0.0, 0.5)
LEAVE_MORE_S = 1.0
SPREAD_S = 0.1
CALLERS_END_S = 15.0


class SoakWorld:
    """:param unanswered: share of the requests that servers leave without an answer.
    :ivar history: what was recorded so far.
    :ivar most_lag_s: longest time by which the soak's own loop was late.
    """

    def __init__(self, seed, folder, gateways=GATEWAYS, servers=SERVERS, unanswered=0.0) -> None:
        self._server_count, self._unanswered = servers, unanswered
        self.history = SoakHistory()
        self.most_lag_s = 0.0
        self._random = Random(seed)
        self._store = SoakStore(Random(seed))
        self.history.troubles = self._store.troubles
        self._folder = folder
        folder.mkdir(parents=True, exist_ok=True)
        store = self._store.start()
        self._ports = HeldPorts()
        names = [f"g{number}" for number in range(gateways)]
        lives = self.history.lives
        self.gateways = [SoakGateway(each, self._ports, store, folder, lives) for each in names]
        self._servers = {}
        self._ended = set()
        self._newest = b""
        self._places = []
        self._version = 0
        self._recent = []
        self._limits = CallerLimitsView(FIRST_IDLE_S, FIRST_BODY_BYTES, FIRST_BODY_BYTES)
        self._callers = []
        self._tasks = []

    async def run(self, plan, seconds, rests=(), limits=(), returns=(), silences=()) -> None:
        """Play `plan` and what is drawn apart from it; ends every process that it started."""
        try:
            await self._start()
            resting = (ask_for_rest(self._server_at, each) for each in rests)
            naming = (name_limit(self._server_at, each) for each in limits)
            returning = (self._return(each) for each in returns)
            silent = (self._silence(each) for each in silences)
            events = (*resting, *naming, *returning, *silent)
            await asyncio.gather(self._play(plan), asyncio.sleep(seconds), *events)
            await self._finish()
        finally:
            for gateway in self.gateways:
                gateway.end()
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            self._ports.close()

    async def _start(self) -> None:
        for _ in range(self._server_count):
            self._places.append(await self._add_server())
        self._configure(0, FIRST_IDLE_S, FIRST_BODY_BYTES)
        self._spawn(self._beat())
        self._spawn(self._watch_lag())
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            assert await becomes_true(lambda g=gateway: is_ready(g), START_TIMEOUT_S), gateway.name
        for gateway in self.gateways:
            for number in range(KEPT_CALLERS + FRESH_CALLERS):
                name = f"{gateway.name}c{number}"
                caller = SoakCaller(
                    name,
                    gateway,
                    HEADER_NAMES,
                    self._limits,
                    Random(f"{self._random.random()}{name}"),
                    self.history.requests.append,
                    is_fresh=number >= KEPT_CALLERS,
                )
                self._callers.append((caller, self._spawn(caller.run())))

    async def _finish(self) -> None:
        """Stop all gateways at once, under load."""
        while any(each.is_restarting for each in self.gateways):  # noqa: ASYNC110
            await asyncio.sleep(SPREAD_S)
        running = [each for each in self.gateways if each.process.exit_code() is None]
        await asyncio.gather(*(each.stop() for each in running))
        for caller, _ in self._callers:
            caller.is_ending = True
        await asyncio.wait({task for _, task in self._callers}, timeout=CALLERS_END_S)

    def _spawn(self, work):
        task = asyncio.ensure_future(work)
        self._tasks.append(task)
        return task

    # ---- events ----

    async def _play(self, plan) -> None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        for event in plan:
            await asyncio.sleep(max(0.0, started_s + event.at_s - loop.time()))
            if event.kind is EventKind.CONFIGURE:
                self._configure(event.filler_routes, event.idle_timeout_s, event.max_body_bytes)
            elif event.kind is EventKind.STORE:
                self._spawn(self._store.trouble(event.mode, event.duration_s))
            elif event.kind is EventKind.HANG_UP:
                self._spawn(self._hang_up(event.mode))
            elif event.kind is EventKind.LEAVE:
                self._spawn(self._leave(event.target))
            else:
                self._restart(self.gateways[event.target], event.kind)

    def _configure(self, fillers, idle_timeout_s, max_body_bytes) -> None:
        self._version += self._random.randint(1, 5)
        version = self._version
        known = [*self._limits.route_versions, version]
        value = configuration(version, known, fillers, idle_timeout_s, max_body_bytes)
        self._newest = value
        self._store.put("op", "", "config", value)
        now_s = asyncio.get_running_loop().time()
        self.history.acknowledged_s[version] = now_s
        limits = self._limits
        limits.route_versions = known
        limits.idle_timeout_s = idle_timeout_s
        limits.max_body_bytes = max_body_bytes
        self._recent.append(max_body_bytes)
        limits.steady_body_bytes = min(self._recent)
        if len(self._recent) > 1:
            self._spawn(self._settle())

    async def _settle(self) -> None:
        """Forget the limits of the oldest configuration once the next one is in force for sure."""
        waited_s = APPLY_S
        await asyncio.sleep(waited_s)
        spans = [*self._store.troubles, *self.history.returns]
        now_s = asyncio.get_running_loop().time
        while any(each.touches(now_s() - waited_s, now_s()) for each in spans):  # noqa: ASYNC110
            await asyncio.sleep(SPREAD_S)
        self._recent.pop(0)
        self._limits.steady_body_bytes = min(self._recent)

    async def _hang_up(self, mode) -> None:
        for gateway in self.gateways:
            if gateway.is_restarting:
                # A new process must find a sound file.
                continue
            fields = {"retry_slack": self._random.randint(10, 40)} if mode != "unchanged" else {}
            gateway.write_settings(mode, **fields)
            for _ in range(2 if mode == "twice" else 1):
                gateway.process.hang_up()
            await asyncio.sleep(self._random.uniform(0.0, SPREAD_S))

    def _restart(self, gateway, kind) -> None:
        if gateway.is_restarting:
            return
        gateway.is_restarting = True
        self._spawn(self._end_and_start(gateway, kind))

    async def _end_and_start(self, gateway, kind) -> None:
        if kind is EventKind.KILL:
            gateway.kill()
            await gateway.ended()
        else:
            hang_up = self._random.random() < 0.5
            stopping = self._spawn(gateway.stop())
            if hang_up:
                await asyncio.sleep(self._random.uniform(0.0, 3.0))
                gateway.process.hang_up()
            await stopping
        await asyncio.sleep(self._random.uniform(*RESTART_S))
        gateway.start()
        if self._random.random() < 0.5:
            await has_used(gateway.process, self._random.uniform(*START_HANG_UP_CPU_S))
            gateway.process.hang_up()
        await becomes_true(lambda: is_ready(gateway), START_TIMEOUT_S)
        if gateway.process.exit_code() is not None:
            # The checkers report it; the plan goes on with a new process.
            await gateway.ended()
            gateway.start()
            await becomes_true(lambda: is_ready(gateway), START_TIMEOUT_S)
        gateway.is_restarting = False

    # ---- servers ----

    async def _add_server(self) -> str:
        server_id = f"s{len(self._servers)}-{self._random.randrange(10**6)}"
        server = SoakServer(server_id, self.history, self._unanswered)
        address = await server.start()
        self._servers[server_id] = (server, address, [0])
        self._list(server_id)
        return server_id

    def _list(self, server_id) -> None:
        server, address, sequence = self._servers[server_id]
        sequence[0] += 1
        value = server_entry(address, "z1", server.is_leaving, sequence[0])
        self._store.put("servers", "", server_id, value)

    async def _watch_lag(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + POLL_S
            await asyncio.sleep(POLL_S)
            self.most_lag_s = max(self.most_lag_s, loop.time() - due_s)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for server_id, (server, _, _) in self._servers.items():
                if not server.is_leaving:
                    self._list(server_id)

    def _server_at(self, place) -> SoakServer:
        return self._servers[self._places[place]][0]

    async def _silence(self, series) -> None:
        """Silence connections to the store in series, then write a configuration."""
        await asyncio.sleep(series.at_s)
        self._store.silence(series.rested_s)
        for gap_s in series.gaps_s:
            await asyncio.sleep(gap_s)
            self._store.silence(series.rested_s)
        await asyncio.sleep(series.configured_after_s)
        self._configure(0, self._limits.idle_timeout_s, self._limits.max_body_bytes)

    async def _return(self, event) -> None:
        """Let the store come back from a copy; operator and servers write again."""
        await asyncio.sleep(event.at_s)
        loop = asyncio.get_running_loop()
        away_s = loop.time() + event.age_s
        # Ends with the rewriting below; until then it counts as open.
        self.history.returns.append(TimeSpan(away_s, math.inf))
        number = len(self.history.returns) - 1
        await self._store.return_from_copy(event.age_s, event.away_s)
        await asyncio.sleep(event.written_again_s)
        self._store.put("op", "", "config", self._newest)
        self.history.returns[number] = TimeSpan(away_s, loop.time())
        for version in self.history.acknowledged_s:
            self.history.acknowledged_s[version] = loop.time()
        for server_id in self._servers:
            if server_id in self._ended:
                self._unlist(server_id)
            else:
                self._list(server_id)

    def _unlist(self, server_id) -> None:
        if ("servers", "", server_id) in self._store.rows:
            self._store.remove("servers", "", server_id)

    async def _leave(self, place) -> None:
        server_id = self._places[place]
        self._places[place] = await self._add_server()
        server = self._servers[server_id][0]
        server.is_leaving = True
        self._list(server_id)
        await asyncio.sleep(DRAIN_S + LEAVE_MORE_S)
        self._ended.add(server_id)
        self._unlist(server_id)
        await server.stop()
