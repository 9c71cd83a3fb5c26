"""One gateway of a soak: its settings file and its processes, one after the other."""

import asyncio
import json
import os
import sys
from pathlib import Path

from gateway_soak_documents import settings

from indigoworks.common.address import Address
from indigoworks_lab.gateway_soak.process_life import ProcessLife
from indigoworks_lab.launcher.free_ports import LOOPBACK
from indigoworks_lab.launcher.managed_process import ManagedProcess

ROOT = Path(__file__).parents[2]
GRACE_S = 6.0
POLL_S = 0.02


class SoakGateway:
    """:param lives: gets each process.
    :param fields: of the settings file, in place of those of other soaks.

    :ivar life: number of the newest process, from 1.
    :ivar variables: of the environment (NAME=VALUE), beside those that every process has.
    """

    def __init__(self, name, ports, store, folder, lives, **fields) -> None:
        self.name = name
        self.address = Address(LOOPBACK, ports.next_port())
        self.readiness = Address(LOOPBACK, ports.next_port())
        self.peer_port = ports.next_port()
        self.metrics_port = ports.next_port()
        self.life = 0
        self.variables = ()
        self.is_restarting = False
        self.process = None
        self._settings = {**settings(self, store, GRACE_S), **fields}
        self.path = folder / f"{name}.settings"
        self._folder = folder
        self._lives = lives
        self._watch = None

    def start(self) -> None:
        """Write the settings file and start a process; its ports are free."""
        self.write_settings()
        self.spawn(*self.variables)

    def spawn(self, *variables) -> None:
        """Start a process with the settings file as it is, and more variables (NAME=VALUE)."""
        self.life += 1
        command = ("env", f"INDIGOWORKS_SETTINGS={self.path}", f"PYTHONPATH={ROOT}", *variables)
        program = (sys.executable, str(ROOT / "platform" / "gateway.py"))
        log_path = self._folder / f"{self.name}.{self.life}.log"
        self.process = ManagedProcess(self.name, (*command, *program), log_path)
        now_s = asyncio.get_running_loop().time()
        self.record = ProcessLife(self.name, self.life, now_s, GRACE_S)
        self._lives.append(self.record)
        self._watch = asyncio.ensure_future(self._watch_exit(self.process, self.record))

    def write_settings(self, mode="", **fields) -> None:
        """Write the file whole, as one rename; `mode`: broken or missing."""
        if mode == "missing":
            self.path.unlink(missing_ok=True)
            return
        text = json.dumps({**self._settings, **fields})
        temporary = self.path.with_suffix(".new")
        temporary.write_text(text[: len(text) // 2] if mode == "broken" else text)
        os.replace(temporary, self.path)

    def terminate(self) -> None:
        self.record.stopped_s = asyncio.get_running_loop().time()
        self.process.terminate()

    def kill(self) -> None:
        if self.record.killed_s is None:
            self.record.killed_s = asyncio.get_running_loop().time()
        self.process.kill()

    async def stop(self) -> None:
        """SIGTERM, SIGKILL once the grace time is over, and wait for the end."""
        self.terminate()
        try:
            await asyncio.wait_for(asyncio.shield(self._watch), GRACE_S)
        except TimeoutError:
            self._note_state()
            self.kill()
        await self._watch

    def _note_state(self) -> None:
        """Keep what the kernel says of the process that has outlived its grace time."""
        parts = ("status", "stat", "wchan", "schedstat", "stack")
        found = [_read(Path(f"/proc/{self.process.pid}/{part}")) for part in parts]
        (self._folder / f"{self.name}.{self.life}.state").write_text("\n".join(found))

    async def ended(self) -> None:
        await self._watch

    def end(self) -> None:
        """End what still runs, whatever the state."""
        if self.process is not None:
            self.process.end()

    async def _watch_exit(self, process, record) -> None:
        while process.exit_code() is None:  # noqa: ASYNC110
            await asyncio.sleep(POLL_S)
        record.exit_code = process.exit_code()
        record.ended_s = asyncio.get_running_loop().time()


def _read(path) -> str:
    try:
        return path.read_text()
    except OSError as error:
        return f"{path.name}: {error}"
