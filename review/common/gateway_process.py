"""Gateways as processes, started by the command of the deploy file."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import tomllib
from pathlib import Path

from client import exchange

ROOT = Path(__file__).resolve().parents[2]
HOLD_MAX_MS = 10_000


class GatewayProcess:
    """One process of the role `gateway`, with the settings of a small deployment."""

    def __init__(self, name: str, zone: str, host: str, store: str, folder: Path) -> None:
        self.name, self.host = name, host
        self._folder = folder
        ports = free_ports(host, 4)
        self.front_port, self.ready_port = ports[0], ports[1]
        self.peer_port = ports[2]
        self._settings = {
            "server_heartbeat_ms": 1300,
            "drain_ms": 2000,
            "configuration_apply_ms": 2000,
            "stop_grace_s": 6,
            "hold_max_ms": HOLD_MAX_MS,
            "retry_ratio": 0.2,
            "retry_window_s": 10,
            "retry_slack": 56,
            "core_share": 0.86,
            "cores": 1,
            "memory_mb": 300,
            "link_mbit": 1000.0,
            "node": name,
            "zone": zone,
            "peer_host": host,
            "peer_port": ports[2],
            "metrics_port": ports[3],
            "front_address": f"{host}:{ports[0]}",
            "readiness_address": f"{host}:{ports[1]}",
            "store_address": store,
        }
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def log(self) -> Path:
        """Return the file with the output of the process."""
        return self._folder / f"{self.name}.log"

    def start(self) -> None:
        """Start the process."""
        settings = self._folder / f"{self.name}.settings"
        settings.write_text(json.dumps(self._settings), encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        environment = {each: os.environ[each] for each in ("PATH", "HOME") if each in os.environ}
        environment["LANG"] = "C.UTF-8"
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["INDIGOWORKS_SETTINGS"] = str(settings)
        with self.log.open("ab") as output:
            self._process = subprocess.Popen(
                deploy["roles"]["gateway"]["run"].split(" "),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    async def is_ready(self) -> bool:
        """Return whether the process says that it is ready."""
        got = await exchange(self.host, self.ready_port, "GET", "/readiness", {}, timeout_s=1.0)
        return got is not None and got.status == 200

    def send_signal(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        if self._process is not None:
            self._process.send_signal(number)

    @property
    def has_ended(self) -> bool:
        """Return whether the process has ended."""
        return self._process is None or self._process.poll() is not None

    async def stop(self) -> None:
        """End the process and wait for it."""
        if self._process is None:
            return
        if self._process.poll() is None:
            self._process.kill()
        await asyncio.to_thread(self._process.wait)


def free_ports(host: str, count: int) -> list[int]:
    """Return ports that are free at a loopback address, for TCP and UDP."""
    held = []
    for _ in range(count):
        tcp = socket.socket()
        tcp.bind((host, 0))
        held.append(tcp)
    ports = [each.getsockname()[1] for each in held]
    for each in held:
        each.close()
    return ports
