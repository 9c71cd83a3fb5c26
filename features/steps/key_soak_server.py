"""A place for servers that hold keys: its port, its links, and its processes in turn."""

import asyncio
import sys

from gateway_soak_gateway import ROOT
from platform_folder_store_stand_in import FOLDER  # noqa: F401 - makes header_names importable

from header_names import HEADER_NAMES  # isort: skip

from indigoworks_lab.gateway_soak.key_event import KeyEvent
from indigoworks_lab.gateway_soak.key_server_life import KeyServerLife
from indigoworks_lab.gateway_soak.key_server_settings import KeyServerSettings
from indigoworks_lab.launcher.managed_process import ManagedProcess

SERVICE = "shop"
ZONE = "z1"
HEARTBEAT_S = 1.0
SLOTS = 4
HOLD_MAX_S = 10.0
MAX_CLOCK_FACTOR = 1.02


class KeySoakServer:
    """:ivar server_id: of its newest process.

    :ivar links: by gateway.
    :ivar woken_s: by id, when a process went on after a stop.
    """

    def __init__(self, place, port, store_port, folder, random, **faults) -> None:
        self.place = place
        self.port = port
        self.links = {}
        self.woken_s = {}
        self.process = None
        self.is_stopped = False
        self.is_changing = False
        self._store_port = store_port
        self._folder = folder
        self._random = random
        self._faults = faults
        self._ids = 0
        self._lives = []

    def start(self, is_same=False) -> None:
        """Start a process under a new id, or under the last one."""
        if not is_same:
            self._ids += 1
            self.server_id = f"s{self.place}v{self._ids}"
        number = 1 + sum(each[0] == self.server_id for each in self._lives)
        name = f"{self.server_id}.{number}"
        settings = KeyServerSettings(
            server_id=self.server_id,
            service=SERVICE,
            zone=ZONE,
            port=self.port,
            store_port=self._store_port,
            record_path=str(self._folder / f"{name}.record"),
            heartbeat_s=HEARTBEAT_S,
            slots=SLOTS,
            clock_factor=self._random.uniform(1.0, MAX_CLOCK_FACTOR),
            hold_max_s=HOLD_MAX_S,
            request_id_header=HEADER_NAMES.request_id,
            server_id_header=HEADER_NAMES.server_id,
            answering_id_header=HEADER_NAMES.answering_server_id,
            not_run_header=HEADER_NAMES.not_run,
            key_header=HEADER_NAMES.key,
            handover_header=HEADER_NAMES.handover,
            signature_header=HEADER_NAMES.signature,
            **self._faults,
        )
        path = self._folder / f"{name}.json"
        path.write_text(settings.to_text())
        program = ("-m", "indigoworks_lab.gateway_soak.key_server_process", str(path))
        command = ("env", f"PYTHONPATH={ROOT}", sys.executable, *program)
        self.process = ManagedProcess(name, command, self._folder / f"{name}.log")
        self._lives.append([self.server_id, number, None])

    async def open_links(self) -> None:
        for link in self.links.values():
            await link.open()

    def kill(self) -> None:
        """End the process; its address refuses connections."""
        self._lives[-1][2] = asyncio.get_running_loop().time()
        self.process.end()
        self.is_stopped = False
        for link in self.links.values():
            link.cut()

    def freeze(self) -> None:
        self.is_stopped = True
        self.process.freeze()

    def thaw(self) -> None:
        if self.is_stopped:
            self.is_stopped = False
            now_s = asyncio.get_running_loop().time()
            self.woken_s.setdefault(self.server_id, []).append(now_s)
            self.process.thaw()

    def ids(self) -> set:
        """Return the ids of its processes."""
        return {each[0] for each in self._lives}

    def lives(self, ended_s) -> list:
        """Return what the processes recorded; `ended_s`: when the soak was over."""
        made = []
        for server_id, number, killed_s in self._lives:
            path = self._folder / f"{server_id}.{number}.record"
            lines = path.read_text().split("\n")[:-1] if path.exists() else []
            events = [KeyEvent.from_line(each) for each in lines]
            until_s = ended_s if killed_s is None else killed_s
            made.append(KeyServerLife(server_id, number, events, until_s))
        return made
