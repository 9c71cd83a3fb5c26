"""An entry of another writer makes a living server count as gone: its keys get a second holder."""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from key_watch import KeyWatch
from world import World, run_case

HOST = "shop.example"
PER_S = 40.0


async def play(world: World) -> bool:
    """Write the foreign entry, then have the server at its address leave as planned."""
    for number in range(8):
        world.add_target(f"i-{number + 1}", "catalogue", number % 3, is_keyed=True)
    route = {
        "name": "browse",
        "host": HOST,
        "path_prefix": "/browse/",
        "kind": "safe",
        "timeout_ms": 1000,
        "aim_ms": 500,
        "priority": 2,
        "service": "catalogue",
        "max_attempts": 2,
    }
    service = {
        "name": "catalogue",
        "health_path": "/health",
        "max_connections": 110,
        "sharded": True,
        "warm_up_s": 2.0,
        "grants": "call",
    }
    world.configure(7, [service], [route])
    if not await world.start(3):
        return False
    watch = asyncio.ensure_future(KeyWatch(world.targets.values(), world.record).run())
    started_s = time.monotonic()
    loading = asyncio.ensure_future(world.load(PER_S, started_s + 26.0, lambda: _send(world)))
    await asyncio.sleep(12.0)
    leaving = world.targets["i-1"]
    if world.is_disturbed:
        _write_foreign_entry(world, leaving.address)
    await asyncio.sleep(4.0)
    leaving.drain()
    await loading
    watch.cancel()
    return world.statuses[200] > 100


def _write_foreign_entry(world: World, address: str) -> None:
    """Write an entry whose state the pages do not name: it names no server to use."""
    entry = {
        "service": "catalogue",
        "address": address,
        "zone": "abdali",
        "version": "v1",
        "slots": 2,
        "state": "inspected",
        "seq": 1,
    }
    world.store.write("servers", "inventory-tool", json.dumps(entry).encode())
    world.record.note("another writer: entry inventory-tool, state inspected, address", address)


async def _send(world: World) -> None:
    gateway = world.random.randrange(len(world.gateways))
    key = world.random.randrange(65536)
    await world.request(gateway, HOST, "/browse/1", key=key)


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
