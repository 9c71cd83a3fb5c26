"""Connections that rest go silent: no gateway learns of a new configuration in time."""

import asyncio
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from world import World, run_case

HOST = "desk.example"
APPLY_S = 2.0
CONTACT_S = 3.0
REST_S = 4.0
PER_S = 60.0
GATEWAYS = 6


async def play(world: World) -> bool:
    """Silence the resting connections; once all machines are in touch again, move a route."""
    for number in range(4):
        world.add_target(f"old-{number + 1}", "scheduler", number % 3)
        world.add_target(f"new-{number + 1}", "scheduler-b", number % 3)
    world.configure(7, *_configuration("scheduler", 1200))
    if not await world.start(GATEWAYS, has_proxy=True):
        return False
    started_s = time.monotonic()
    loading = asyncio.ensure_future(world.load(PER_S, started_s + 26.0, lambda: _send(world)))
    await asyncio.sleep(6.0)
    world.configure(8, *_configuration("scheduler", 1300))
    await asyncio.sleep(REST_S + 0.6)
    if world.is_disturbed and world.proxy is not None:
        count = world.proxy.silence(REST_S)
        world.record.note(count, f"connections to the store that rested for {REST_S} s go silent")
    await asyncio.sleep(CONTACT_S + 0.1)
    world.configure(9, *_configuration("scheduler-b", 1300))
    taken_s = time.monotonic()
    await loading
    return _judge(world, taken_s)


def _configuration(service: str, timeout_ms: int) -> tuple[list[dict[str, Any]], list[Any]]:
    route = {
        "name": "booking",
        "host": HOST,
        "path_prefix": "/booking/",
        "kind": "unsafe",
        "timeout_ms": timeout_ms,
        "aim_ms": 600,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
    }
    services = [
        {"name": each, "health_path": "/health", "max_connections": 110}
        for each in ("scheduler", "scheduler-b")
    ]
    return services, [route]


async def _send(world: World) -> None:
    gateway = world.random.randrange(len(world.gateways))
    await world.request(gateway, HOST, "/booking/1", "POST", wait_ms=2500, body=b"slot")


def _judge(world: World, taken_s: float) -> bool:
    for target in world.targets.values():
        if target.service != "scheduler":
            continue
        for _, number, _ in target.runs:
            after_s = world.sent[number][0] - taken_s
            if after_s > APPLY_S:
                world.record.breach(
                    f"CONFIG: {number}, sent {after_s:.3f} s after version 9 was taken,"
                    f" is run by {target.name} of the old service"
                )
    return world.statuses[200] > 100


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
