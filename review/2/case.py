"""A surplus answer to a first send is taken for the answer to the second: a request runs twice."""

import asyncio
import random
import sys
import time
from collections import deque
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from http_io import Answer, Request, encode
from stand_in_server import Target
from world import World, run_case

HOST = "desk.example"
PER_S = 190.0
GATEWAYS = 8
LENGTH_S = 98.0
LIMIT_S = 104.0
SERVERS = 8
RESTART_S = 0.25
PERIOD_S = 3.5
GARBLE_S = 5.0
GARBLE_SHARE = 0.03


class SurplusTarget(Target):
    """Sends its refusal of a request for a key that it does not hold twice, the second one late.

    It does so with `GARBLE_SHARE` of its answers of the last `GARBLE_S` at most.
    """

    garbles_until_s = 0.0

    def __init__(self, *arguments: object, **options: object) -> None:
        super().__init__(*arguments, **options)  # type: ignore[arg-type]
        self._random = random.Random(self.name)
        self._answered_s: deque[float] = deque()
        self._garbled_s: deque[float] = deque()

    def _reply(
        self, request: Request, status: int, headers: dict[str, str], body: bytes = b""
    ) -> Answer:
        self._answered_s.append(time.monotonic())
        return super()._reply(request, status, headers, body)

    def _refuse_not_held(self, request: Request) -> Answer:
        answer = super()._refuse_not_held(request)
        now_s = time.monotonic()
        for times in (self._answered_s, self._garbled_s):
            while times and times[0] < now_s - GARBLE_S:
                times.popleft()
        is_within = len(self._garbled_s) + 1 <= GARBLE_SHARE * len(self._answered_s)
        if now_s < self.garbles_until_s and is_within and self._random.random() < 0.5:
            self._garbled_s.append(now_s)
            answer.surplus = encode(answer)
            number = request.headers["x-indigoworks-attempt-id"]
            counts = f"{len(self._garbled_s)} of {len(self._answered_s)} answers in {GARBLE_S} s"
            self._record.note("421 with a surplus copy", self.name, number, counts)
        return answer


async def play(world: World) -> bool:
    """Restart one server after the other under its id, each for a moment."""
    for number in range(SERVERS):
        name = f"i-{number + 1}"
        world.targets[name] = SurplusTarget(
            name,
            "highlights",
            f"127.41.{number % 3 + 1}.{number + 1}",
            ("abdali", "sweifieh", "marka")[number % 3],
            world.store,
            world.record,
            is_keyed=True,
            work_s=0.06,
        )
    route = {
        "name": "publish",
        "host": HOST,
        "path_prefix": "/publish/",
        "kind": "unsafe",
        "timeout_ms": 1200,
        "aim_ms": 600,
        "priority": 1,
        "service": "highlights",
        "max_attempts": 2,
    }
    service = {
        "name": "highlights",
        "health_path": "/health",
        "max_connections": 110,
        "sharded": True,
        "warm_up_s": 2.0,
        "grants": "call",
    }
    world.configure(7, [service], [route])
    if not await world.start(GATEWAYS):
        return False
    started_s = time.monotonic()
    end_s = started_s + min(LENGTH_S, LIMIT_S - world.record.at_s())
    loading = asyncio.ensure_future(world.load(PER_S, end_s, lambda: _send(world)))
    await asyncio.sleep(6.0)
    number = 0
    while time.monotonic() < end_s - PERIOD_S:
        target = world.targets[f"i-{number % SERVERS + 1}"]
        number += 1
        if world.is_disturbed:
            await _restart(target)
        await asyncio.sleep(PERIOD_S)
    await loading
    return _judge(world)


async def _restart(target: Target) -> None:
    assert isinstance(target, SurplusTarget)
    target.garbles_until_s = time.monotonic() + GARBLE_S
    await target.stop()
    await asyncio.sleep(RESTART_S)
    await target.start()


async def _send(world: World) -> None:
    gateway = world.random.randrange(len(world.gateways))
    key = world.random.randrange(65536)
    await world.request(gateway, HOST, "/publish/1", "POST", key=key, wait_ms=2500, body=b"clip")


def _judge(world: World) -> bool:
    places: dict[str, list[str]] = {}
    for target in world.targets.values():
        for _, number, _ in target.runs:
            places.setdefault(number, []).append(target.name)
    for number, names in places.items():
        if len(names) > 1:
            world.record.breach(f"TWICE: {number} ran {len(names)} times, at {' '.join(names)}")
    return world.statuses[200] > 100


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
