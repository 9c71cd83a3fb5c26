"""A soak in which some gateways lose their path to all servers, with keys and without."""

import asyncio
from pathlib import Path

from key_soak_world import HEADER_NAMES, KeySoakWorld

from indigoworks_lab.client.polling import becomes_true
from indigoworks_lab.gateway_soak.key_server_place import SERVICE
from indigoworks_lab.gateway_soak.path_caller import (
    KEYED_ROUTE,
    SAFE_ROUTE,
    UNSAFE_ROUTE,
    PathCaller,
)
from indigoworks_lab.gateway_soak.path_history import PathHistory
from indigoworks_lab.gateway_soak.soak_documents import route

DESK = "desk"
"""The service without keys."""

GATEWAYS, KEY_SERVERS, DESK_SERVERS, CALLERS = 8, 5, 6, 4
WARM_S = 3.0
CUT_S = 8.0
AFTER_S = 3.0
LEADER_TIMEOUT_S = 10.0
TIMEOUT_MS, AIM_MS = 3000, 600


class LostPathWorld(KeySoakWorld):
    """:ivar path_history: what callers and servers saw, once `run` has returned."""

    def __init__(self, seed, folder: Path) -> None:
        super().__init__(seed, folder, GATEWAYS, KEY_SERVERS, callers=CALLERS)
        for _ in range(DESK_SERVERS):
            self._add_server(service=DESK, needs_keys=False)
        self._requests = []
        self._cut = frozenset()
        self._cut_s = self._healed_s = 0.0

    async def lose_path(self, choose, way) -> None:
        """Cut the gateways that `choose` names, given all and the leader, for a while."""
        assert await becomes_true(self._has_leader, LEADER_TIMEOUT_S)
        await asyncio.sleep(WARM_S)
        loop = asyncio.get_running_loop()
        self._cut = frozenset(choose([each.name for each in self.gateways], self._leader_name()))
        self._cut_s = loop.time()
        links = self.events.lose_path(sorted(self._cut), way)
        await asyncio.sleep(CUT_S)
        self._healed_s = loop.time()
        self.events.heal(links)
        await asyncio.sleep(AFTER_S)

    def _leader_name(self):
        row = self.store.leader()
        return row.node if row else None

    async def _has_leader(self) -> bool:
        return self._leader_name() is not None

    def _configuration(self):
        document = super()._configuration()
        document["services"].append({**document["services"][0], "name": DESK, "sharded": False})
        kinds = ((KEYED_ROUTE, "safe", SERVICE), (SAFE_ROUTE, "safe", DESK))
        document["routes"] = [
            {
                **route(prefix, prefix, kind),
                "service": service,
                "timeout_ms": TIMEOUT_MS,
                "aim_ms": AIM_MS,
            }
            for prefix, kind, service in (*kinds, (UNSAFE_ROUTE, "unsafe", DESK))
        ]
        return document

    def _caller(self, name, gateway, random):
        return PathCaller(name, gateway, HEADER_NAMES, self.keys, random, self._record)

    def _record(self, request) -> None:
        self._requests.append(request)
        self.statuses[request.status] += 1

    def _finish(self) -> None:
        super()._finish()
        keyless = {
            each for server in self.servers if not server.needs_keys for each in server.ids()
        }
        begun_s = {}
        for life in self.history.lives:
            for event in life.events:
                if event.kind == "begun":
                    begun_s.setdefault(event.request_id, []).append(event.at_s)
        self.history.lives = [each for each in self.history.lives if each.server_id not in keyless]
        self.path_history = PathHistory(
            self._requests, begun_s, self._cut, self._cut_s, self._healed_s
        )
