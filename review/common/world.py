"""A small deployment on loopback: store, servers, gateways and clients."""

import asyncio
import json
import os
import random
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from client import Got, exchange
from gateway_process import GatewayProcess
from proxy import SilentProxy
from record import Record
from stand_in_server import Target
from store import Store

ZONES = ("abdali", "sweifieh", "marka")
STORE_HOST = "127.40.0.1"
MS_PER_S = 1000.0
CALM, BROKEN, CANNOT_RUN = 0, 1, 2


class World:
    """Runs one case; `is_disturbed` is False where TROUBLE=0 asks for the run without it."""

    def __init__(self, folder: Path) -> None:
        self.is_disturbed = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder / "record.txt")
        self.store = Store()
        self.targets: dict[str, Target] = {}
        self.gateways: list[GatewayProcess] = []
        self.random = random.Random(int(os.environ.get("SEED", "1")))
        self.statuses: Counter[int | None] = Counter()
        self._keep = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(os.environ.get("KEEP_LOGS") or self._keep.name)
        self.proxy: SilentProxy | None = None
        self._number = 0
        self.sent: dict[str, tuple[float, str]] = {}

    # ---- start and end ----

    def configure(self, version: int, services: list[dict[str, Any]], routes: list[Any]) -> None:
        """Write a configuration, as the operator does."""
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        document = {"version": version, "routes": routes, "services": services, "limits": limits}
        self.store.write("op", "config", json.dumps(document).encode())
        self.record.note("operator: configuration", version, "taken by the store")

    def add_target(self, name: str, service: str, zone: int, **options: Any) -> Target:
        """Add a server at an address of its own, which is not yet started."""
        host = f"127.41.{zone + 1}.{len(self.targets) + 1}"
        made = Target(name, service, host, ZONES[zone], self.store, self.record, **options)
        self.targets[name] = made
        return made

    async def start(self, gateways: int, has_proxy: bool = False) -> bool:
        """Start everything; False if the gateways do not become ready.

        :param has_proxy: the gateways reach the store through `proxy`.
        """
        await self.store.server.start(STORE_HOST)
        for each in self.targets.values():
            await each.start()
        address = f"{STORE_HOST}:{self.store.server.port}"
        if has_proxy:
            self.proxy = SilentProxy(STORE_HOST, self.store.server.port)
            await self.proxy.start("127.40.0.2")
            address = f"127.40.0.2:{self.proxy.port}"
        for number in range(gateways):
            zone = ZONES[number % len(ZONES)]
            host = f"127.42.{number % len(ZONES) + 1}.{number + 1}"
            made = GatewayProcess(f"front-{number + 1}", zone, host, address, self.folder)
            self.gateways.append(made)
            made.start()
        return await self.wait_until(self._are_ready, 30.0)

    async def wait_until(self, is_true: Callable[[], Awaitable[bool]], limit_s: float) -> bool:
        """Wait until a condition is true; False if it does not become so in time."""
        until_s = time.monotonic() + limit_s
        while time.monotonic() < until_s:
            if await is_true():
                return True
            await asyncio.sleep(0.2)
        return False

    async def _are_ready(self) -> bool:
        return all([await each.is_ready() for each in self.gateways])

    async def end(self) -> None:
        """End all processes and stand-ins."""
        for each in self.gateways:
            await each.stop()
        for target in self.targets.values():
            if target.is_up:
                await target.stop()
        if self.proxy is not None:
            await self.proxy.stop()
        await self.store.server.stop()
        self._keep.cleanup()

    # ---- clients ----

    async def request(
        self,
        gateway: int,
        host: str,
        path: str,
        method: str = "GET",
        key: int | None = None,
        wait_ms: int = 2000,
        body: bytes = b"",
    ) -> Got | None:
        """Send one request of a client to a gateway; it is a single try."""
        self._number += 1
        number = f"{self._number:016x}"
        headers = {
            "Host": host,
            "X-Indigoworks-Attempt-Id": number,
            "X-Indigoworks-Deadline-Ms": str(wait_ms),
        }
        if key is not None:
            headers["X-Indigoworks-Shard-Key"] = str(key)
        process = self.gateways[gateway]
        self.sent[number] = (time.monotonic(), path)
        self.record.note("sent", number, method, path, "" if key is None else f"key {key}")
        got = await exchange(
            process.host,
            process.front_port,
            method,
            path,
            headers,
            body,
            wait_ms / MS_PER_S + 0.5,
            f"127.43.0.{self._number % 250 + 1}",
        )
        status = None if got is None else got.status
        self.statuses[status] += 1
        self.record.note("answered", number, "nothing" if got is None else status)
        return got

    async def load(self, per_s: float, until_s: float, send: Callable[[], Awaitable[Any]]) -> None:
        """Call `send` at drawn moments, `per_s` times a second on average, until a moment."""
        tasks = set()
        while time.monotonic() < until_s:
            await asyncio.sleep(self.random.expovariate(per_s))
            task = asyncio.ensure_future(send())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks, timeout=5.0)


def run_case(folder: Path, play: Callable[[World], Awaitable[bool]], limit_s: float = 110) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if it could not run.

    :param play: returns whether the case could run; breaches stand in the record.
    """
    sys.exit(asyncio.run(_play(folder, play, limit_s)))


async def _play(folder: Path, play: Callable[[World], Awaitable[bool]], limit_s: float) -> int:
    world = World(folder)
    try:
        async with asyncio.timeout(limit_s):
            could_run = await play(world)
    except TimeoutError:
        world.record.note("the case took too long")
        could_run = False
    except Exception as error:
        world.record.note("the case failed:", type(error).__name__, error)
        could_run = False
    finally:
        await world.end()
    answered = ", ".join(
        f"{key}: {count}" for key, count in sorted(world.statuses.items(), key=str)
    )
    world.record.note("statuses that clients got:", answered)
    if not could_run:
        world.record.note("the case could not run")
        return CANNOT_RUN
    broken = bool(world.record.broken)
    world.record.close()
    for each in world.record.broken[:5]:
        print(each)
    return BROKEN if broken else CALM
