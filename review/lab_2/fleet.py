"""Gateways as separate processes, started with the commands of the deploy file."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from contextlib import suppress
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
GRACE_S = 6
PORTS = (12_000, 32_000)


def free_port(host: str = "127.0.0.1") -> int:
    """Return a free port below those that the kernel gives to connections."""
    while True:
        port = random.randrange(*PORTS)
        with socket.socket() as probe, suppress(OSError):
            probe.bind((host, port))
            return port


class Gateway:
    """One gateway; its settings file is filled as the platform fills the template.

    :ivar front: host and port for clients.
    """

    def __init__(self, name: str, host: str, zone: str, store: str, folder: Path, **more) -> None:
        self.name, self.host = name, host
        self.front = f"{host}:{free_port(host)}"
        self.ready = f"{host}:{free_port(host)}"
        self.peer_port, self.metrics_port = free_port(host), free_port(host)
        self.path = folder / f"{name}.settings"
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self.fields = {
            "server_heartbeat_ms": 800,
            "drain_ms": 2000,
            "configuration_apply_ms": 2000,
            "stop_grace_s": GRACE_S,
            "hold_max_ms": 10000,
            "retry_ratio": 0.2,
            "retry_window_s": 10,
            "retry_slack": 62,
            "core_share": 0.86,
            "cores": 1,
            "memory_mb": 300,
            "link_mbit": 1000.0,
            "node": name,
            "zone": zone,
            "peer_host": host,
            "peer_port": self.peer_port,
            "metrics_port": self.metrics_port,
            "front_address": self.front,
            "readiness_address": self.ready,
            "store_address": store,
            **more,
        }

    def start(self) -> None:
        """Start a process with the `run` line of the role."""
        self.path.write_text(json.dumps(self.fields))
        role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["gateway"]
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "INDIGOWORKS_SETTINGS": str(self.path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(" "), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send(self, number: int) -> None:
        """Send a signal."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def wait_ready(self, timeout_s: float = 30.0) -> bool:
        """Wait until /readiness answers 200."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + timeout_s
        while loop.time() < until_s:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def is_ready(self) -> bool:
        """Return whether /readiness answers 200."""
        host, _, port = self.ready.partition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    def end(self) -> None:
        """End the process, whatever its state."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def log_lines(self, pattern: str) -> list[str]:
        """Return the log lines that a pattern is found in."""
        text = self.log.read_text(errors="replace") if self.log.exists() else ""
        return [line for line in text.splitlines() if re.search(pattern, line)]


class Folder:
    """A temporary folder that is removed at the end."""

    def __init__(self) -> None:
        self.path = Path(tempfile.mkdtemp(prefix="review-"))

    def remove(self) -> None:
        """Remove it, unless the variable KEEP is set."""
        if os.environ.get("KEEP"):
            print("kept", self.path, file=sys.stderr)
            return
        shutil.rmtree(self.path, ignore_errors=True)


def route(name: str, prefix: str, kind: str, service: str, **more) -> dict:
    """Return a route as the operator writes it."""
    return {
        "name": name,
        "host": "a.example",
        "path_prefix": prefix,
        "kind": kind,
        "service": service,
        "timeout_ms": 2000,
        "aim_ms": 600,
        "priority": 1,
        "max_attempts": 2,
        **more,
    }


def configuration(version: int, routes: list[dict], services: dict[str, bool]) -> dict:
    """Return a configuration; `services` tells which are divided by key."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "health_path": "/health", "max_connections": 130, "sharded": keyed}
            | ({"grants": "call", "warm_up_s": 3.0} if keyed else {})
            for name, keyed in services.items()
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }
