"""A soak of gateways and servers that hold keys, each a process of its own."""

import asyncio
import json
from collections import Counter
from random import Random

from gateway_soak_gateway import ROOT, SoakGateway
from key_soak_store import KeySoakStore
from platform_folder_store_stand_in import FOLDER  # noqa: F401 - makes header_names importable

from indigoworks_lab.gateway_soak.held_ports import HeldPorts
from indigoworks_lab.gateway_soak.soak_documents import configuration

from header_names import HEADER_NAMES  # isort: skip

from indigoworks_lab.client.polling import becomes_true
from indigoworks_lab.gateway_soak.gateway_waits import is_ready
from indigoworks_lab.gateway_soak.hot_keys import HotKeys
from indigoworks_lab.gateway_soak.key_caller import KeyCaller
from indigoworks_lab.gateway_soak.key_history import KeyHistory
from indigoworks_lab.gateway_soak.key_link import KeyLink
from indigoworks_lab.gateway_soak.key_server_place import HEARTBEAT_S, HOLD_MAX_S, KeyServerPlace
from indigoworks_lab.gateway_soak.key_soak_events import KeySoakEvents

SOURCE_ADDRESS = ROOT / "indigoworks_lab" / "gateway_soak" / "source_address"

GATEWAYS = 4
SERVERS = 5
CALLERS = 10

START_TIMEOUT_S = 40.0
SERVED_TIMEOUT_S = 20.0
SETTLE_S = 5.0
POLL_S = 0.01
IDLE_TIMEOUT_S = 30.0
BODY_BYTES = 64 * 1024
MS_PER_S = 1000.0

STORE_WRITE_PATH = "/rows-tx"


class KeySoakWorld:
    """:param hold_max_s: longest hold that servers accept.
    :param callers: for each gateway.
    :param faults: of all servers, see KeyServerSettings.

    :ivar history: what the servers recorded, once `run` has returned.
    :ivar statuses: counts the callers' answers.
    :ivar most_lag_s: longest time by which the soak's own loop was late.
    """

    def __init__(
        self,
        seed,
        folder,
        gateways=GATEWAYS,
        servers=SERVERS,
        hold_max_s=HOLD_MAX_S,
        callers=CALLERS,
        **faults,
    ) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self.statuses = Counter()
        self._unsafe_answers = {}
        self.most_lag_s = 0.0
        self._random = Random(f"world {seed}")
        self._ports = HeldPorts()
        self.store = KeySoakStore(Random(seed), HEARTBEAT_S)
        self.store_port = self.store.start().port
        self.keys = HotKeys(Random(f"keys {seed}"))
        self.store_link = KeyLink(self._ports.next_port(), self.store_port)
        # By gateway, the address from which its connections come.
        self.sources = {f"g{number}": f"127.0.1.{number + 1}" for number in range(gateways)}
        self.gateways = []
        for name, source in self.sources.items():
            made = SoakGateway(
                name,
                self._ports,
                self.store_link.address,
                folder,
                [],
                server_heartbeat_ms=HEARTBEAT_S * MS_PER_S,
                hold_max_ms=hold_max_s * MS_PER_S,
            )
            made.variables = (
                f"PYTHONPATH={ROOT}:{SOURCE_ADDRESS}",
                f"SOAK_SOURCE_ADDRESS={source}",
            )
            self.gateways.append(made)
        self._folder = folder
        self.servers = []
        for _ in range(servers):
            self._add_server(hold_max_s=hold_max_s, **faults)
        self.events = KeySoakEvents(self)
        self._callers = callers
        self._tasks = []

    async def run(self, plan, seconds, besides=None) -> None:
        """Play `plan`, heal all, look on for a little; ends every process that it started.

        :param besides: more that is done to the world, once keys are served.
        """
        try:
            await self._start()
            playing = self.spawn(self.events.play(plan))
            if besides is not None:
                await besides(self)
            await asyncio.sleep(seconds)
            playing.cancel()
            self.events.heal_all()
            await asyncio.sleep(SETTLE_S)
            self._finish()
        finally:
            self.events.end()
            for task in self._tasks:
                task.cancel()
            for each in self.gateways:
                each.end()
            for server in self.servers:
                server.end()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            for link in self._links():
                link.close()
            self._ports.close()

    def _add_server(self, **options) -> None:
        port = self._ports.next_port()
        link = KeyLink(self._ports.next_port(), port)
        made = KeyServerPlace(
            len(self.servers),
            port,
            link,
            self.store_port,
            STORE_WRITE_PATH,
            self._folder,
            self._random,
            HEADER_NAMES,
            **options,
        )
        self.servers.append(made)

    def _links(self):
        return (self.store_link, *(each.link for each in self.servers))

    def spawn(self, work):
        """Run work beside; it ends with the soak."""
        task = asyncio.ensure_future(work)
        self._tasks.append(task)
        return task

    async def _start(self) -> None:
        self.store.put("op", "", "config", json.dumps(self._configuration()).encode())
        for link in self._links():
            await link.open()
        self.spawn(self.store.let_entries_lapse())
        self.spawn(self._watch_lag())
        for server in self.servers:
            server.start()
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            assert await becomes_true(lambda g=gateway: is_ready(g), START_TIMEOUT_S), gateway.name
        for gateway in self.gateways:
            for number in range(self._callers):
                name = f"{gateway.name}c{number}"
                random = Random(f"{self._random.random()}{name}")
                self.spawn(self._caller(name, gateway, random).run())
        assert await becomes_true(self._is_served, SERVED_TIMEOUT_S), self.statuses

    def _configuration(self):
        document = json.loads(configuration(1, [1], 0, IDLE_TIMEOUT_S, BODY_BYTES))
        document["services"][0]["sharded"] = True
        return document

    def _caller(self, name, gateway, random):
        """Return a caller; every second one sends requests that may run once."""
        common = (self.keys, random, self.statuses)
        if int(name.rpartition("c")[2]) % 2:
            return KeyCaller(name, gateway, HEADER_NAMES, "/safe1/", *common)
        record = self._unsafe_answers.__setitem__
        return KeyCaller(name, gateway, HEADER_NAMES, "/unsafe1/", *common, record)

    async def _is_served(self) -> bool:
        return self.statuses[200] > 0

    def _finish(self) -> None:
        now_s = asyncio.get_running_loop().time()
        lives = [life for each in self.servers for life in each.lives(now_s)]
        woken_s, sent_s = {}, {}
        for each in self.servers:
            woken_s.update(each.woken_s)
            for server_id in each.ids():
                for source, gate in each.link.gates.items():
                    sent_s[server_id, source] = gate.sent_s
        names = {source: name for name, source in self.sources.items()}
        self.history = KeyHistory(
            lives, self.events.healed, woken_s, sent_s, names, self._unsafe_answers
        )

    async def _watch_lag(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + POLL_S
            await asyncio.sleep(POLL_S)
            self.most_lag_s = max(self.most_lag_s, loop.time() - due_s)
