"""A place for servers that hold keys: its port, its links, and its processes in turn."""

import asyncio
import sys
from dataclasses import replace
from pathlib import Path
from random import Random

from indigoworks.gateway.header_names import HeaderNames
from indigoworks_lab.gateway_soak.key_event import KeyEvent
from indigoworks_lab.gateway_soak.key_link import KeyLink
from indigoworks_lab.gateway_soak.key_server_life import KeyServerLife
from indigoworks_lab.gateway_soak.key_server_settings import KeyServerSettings
from indigoworks_lab.launcher.managed_process import ManagedProcess

ROOT = Path(__file__).parents[2]
SERVICE = "shop"
ZONE = "z1"
HEARTBEAT_S = 1.0
SLOTS = 4
HOLD_MAX_S = 10.0
MAX_CLOCK_FACTOR = 1.02


class KeyServerPlace:
    """:ivar server_id: of its newest process, `process`, which `start` starts first.

    :ivar link: that gateways use.
    :ivar needs_keys: its processes run only requests on keys that they hold.
    :ivar woken_s: by id, when a process went on after a stop.
    """

    server_id: str
    process: ManagedProcess

    def __init__(
        self,
        place: int,
        port: int,
        link: KeyLink,
        store_port: int,
        store_write_path: str,
        folder: Path,
        random: Random,
        names: HeaderNames,
        forgets_release_tokens: bool = False,
        repeats_refusals: bool = False,
        hold_max_s: float = HOLD_MAX_S,
        service: str = SERVICE,
        needs_keys: bool = True,
    ) -> None:
        self.place = place
        self.port = port
        self.link = link
        self.woken_s: dict[str, list[float]] = {}
        self.is_stopped = False
        self.is_changing = False
        self._store_port = store_port
        self._store_write_path = store_write_path
        self._folder = folder
        self._random = random
        self._names = names
        self._forgets_release_tokens = forgets_release_tokens
        self._repeats_refusals = repeats_refusals
        self._hold_max_s = hold_max_s
        self._service = service
        self.needs_keys = needs_keys
        self._ids = 0
        self._lives: list[KeyServerLife] = []

    def start(self, is_same: bool = False) -> None:
        """Start a process under a new id, or under the last one."""
        if not is_same:
            self._ids += 1
            self.server_id = f"s{self.place}v{self._ids}"
        number = 1 + sum(each.server_id == self.server_id for each in self._lives)
        name = f"{self.server_id}.{number}"
        names = self._names
        settings = KeyServerSettings(
            server_id=self.server_id,
            service=self._service,
            zone=ZONE,
            port=self.port,
            listed_port=self.link.address.port,
            store_port=self._store_port,
            store_write_path=self._store_write_path,
            record_path=str(self._folder / f"{name}.record"),
            heartbeat_s=HEARTBEAT_S,
            slots=SLOTS,
            clock_factor=self._random.uniform(1.0, MAX_CLOCK_FACTOR),
            hold_max_s=self._hold_max_s,
            request_id_header=names.request_id,
            server_id_header=names.server_id,
            answering_id_header=names.answering_server_id,
            not_run_header=names.not_run,
            key_header=names.key,
            handover_header=names.handover,
            signature_header=names.signature,
            forgets_release_tokens=self._forgets_release_tokens,
            repeats_refusals=self._repeats_refusals,
            needs_keys=self.needs_keys,
        )
        path = self._folder / f"{name}.json"
        path.write_text(settings.to_text())
        program = ("-m", "indigoworks_lab.gateway_soak.key_server_process", str(path))
        command = ("env", f"PYTHONPATH={ROOT}", sys.executable, *program)
        self.process = ManagedProcess(name, command, self._folder / f"{name}.log")
        self._lives.append(KeyServerLife(self.server_id, number, ()))

    def kill(self) -> None:
        """End the process; its address refuses connections."""
        now_s = asyncio.get_running_loop().time()
        self._lives[-1] = replace(self._lives[-1], ended_s=now_s)
        self.process.end()
        self.is_stopped = False
        self.link.close()

    def end(self) -> None:
        """End what still runs."""
        if self._lives:
            self.process.end()

    def freeze(self) -> None:
        """Stop the process; it stays up."""
        self.is_stopped = True
        self.process.freeze()

    def thaw(self) -> None:
        """Let a stopped process go on."""
        if self.is_stopped:
            self.is_stopped = False
            now_s = asyncio.get_running_loop().time()
            self.woken_s.setdefault(self.server_id, []).append(now_s)
            self.process.thaw()

    def ids(self) -> set[str]:
        """Return the ids of its processes."""
        return {each.server_id for each in self._lives}

    def lives(self, ended_s: float) -> list[KeyServerLife]:
        """Return what the processes recorded; `ended_s`: when the soak was over."""
        made = []
        for life in self._lives:
            path = self._folder / f"{life.name}.record"
            # A process that was killed may have left its last line unfinished.
            lines = path.read_text().split("\n")[:-1] if path.exists() else []
            events = [KeyEvent.from_line(each) for each in lines]
            made.append(replace(life, events=events, ended_s=min(life.ended_s, ended_s)))
        return made
