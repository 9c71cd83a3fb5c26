"""An entry of another writer ends the following of the list of servers."""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from world import World, run_case

HOST = "desk.example"
DRAIN_S = 2.0
CONTACT_S = 3.0
PER_S = 40.0


async def play(world: World) -> bool:
    """Write the foreign entry, then have a server leave as planned."""
    for number in range(6):
        world.add_target(f"i-{number + 1}", "scheduler", number % 3)
    route = {
        "name": "booking",
        "host": HOST,
        "path_prefix": "/booking/",
        "kind": "unsafe",
        "timeout_ms": 1200,
        "aim_ms": 600,
        "priority": 1,
        "service": "scheduler",
        "max_attempts": 2,
    }
    service = {"name": "scheduler", "health_path": "/health", "max_connections": 110}
    world.configure(7, [service], [route])
    if not await world.start(3):
        return False
    started_s = time.monotonic()
    loading = asyncio.ensure_future(world.load(PER_S, started_s + 22.0, lambda: _send(world)))
    await asyncio.sleep(5.0)
    if world.is_disturbed:
        entry = {"service": ["scheduler"], "address": "127.41.9.9:8080", "zone": "abdali"}
        world.store.write("servers", "inventory-tool", json.dumps(entry).encode())
        world.record.note("another writer: entry inventory-tool, whose service is a list")
    await asyncio.sleep(5.0)
    leaving = world.targets["i-1"]
    leaving.drain()
    await loading
    return _judge(world)


async def _send(world: World) -> None:
    gateway = world.random.randrange(len(world.gateways))
    await world.request(gateway, HOST, "/booking/1", "POST", wait_ms=2500, body=b"slot")


def _judge(world: World) -> bool:
    leaving = world.targets["i-1"]
    assert leaving.draining_s is not None
    late = [each for each in leaving.arrivals if each[0] > leaving.draining_s + DRAIN_S]
    for at_s, number in late:
        after_s = at_s - leaving.draining_s
        world.record.breach(f"DRAIN: {number} reaches i-1 {after_s:.3f} s after its leaving")
    return world.statuses[200] > 100


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
