"""A request for a key runs on more servers than its route allows, when its first answer is lost."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from http_io import Answer, Request
from stand_in_server import Target
from world import ZONES, World, run_case

HOST = "shop.example"
MAX_ATTEMPTS = 1
ALLOWED_REQUESTS = 3
PER_S = 120.0
SERVERS = 8
LOST_SHARE = 0.4
LOST_S = 4.0
RELEASED = 3
GAP_S = 1.0
ROUNDS = 6


class LosingTarget(Target):
    """Runs requests and loses `LOST_SHARE` of the answers at most, by resets, for a time."""

    loses_until_s = 0.0
    run_in_window = 0
    lost_in_window = 0

    def lose(self) -> None:
        """Lose answers from now on for `LOST_S`."""
        self.loses_until_s = time.monotonic() + LOST_S
        self.run_in_window = self.lost_in_window = 0
        self._record.note("server", self.name, f"loses {LOST_SHARE} of its answers, {LOST_S} s")

    async def _run(self, request: Request, number: str, key: int | None) -> Answer | None:
        answer = await super()._run(request, number, key)
        if time.monotonic() >= self.loses_until_s:
            return answer
        self.run_in_window += 1
        if self.lost_in_window + 1 > LOST_SHARE * self.run_in_window:
            return answer
        self.lost_in_window += 1
        self._record.note("answer lost", self.name, number)
        return None


async def play(world: World) -> bool:
    """Replace servers one by one while others and they lose answers; `ROUNDS` times."""
    for number in range(SERVERS):
        _add(world, number)
    route = {
        "name": "browse",
        "host": HOST,
        "path_prefix": "/browse/",
        "kind": "safe",
        "timeout_ms": 1000,
        "aim_ms": 500,
        "priority": 2,
        "service": "catalogue",
        "max_attempts": MAX_ATTEMPTS,
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
    started_s = time.monotonic()
    loading = asyncio.ensure_future(world.load(PER_S, started_s + 75.0, lambda: _send(world)))
    await asyncio.sleep(12.0)
    for turn in range(ROUNDS):
        if world.is_disturbed:
            await _play_round(world)
        await asyncio.sleep(6.0)
        world.record.note("round", turn + 1, "is over")
    await loading
    return _judge(world)


def _add(world: World, number: int) -> LosingTarget:
    name, zone = f"i-{number + 1}", number % 3
    made = LosingTarget(
        name,
        "catalogue",
        f"127.41.{zone + 1}.{number + 1}",
        ZONES[zone],
        world.store,
        world.record,
        is_keyed=True,
        slots=4,
        work_s=0.16,
    )
    world.targets[name] = made
    return made


async def _play_round(world: World) -> None:
    """Half of the servers lose answers; three of these are replaced, the new one starts first."""
    staying = [each for each in world.targets.values() if each.state == "ready"]
    losing = staying[: SERVERS // 2]
    for each in losing:
        assert isinstance(each, LosingTarget)
        each.lose()
    await asyncio.sleep(0.5)
    for old in losing[:RELEASED]:
        await _add(world, len(world.targets)).start()
        old.drain()
        await asyncio.sleep(GAP_S)


async def _send(world: World) -> None:
    gateway = world.random.randrange(len(world.gateways))
    await world.request(gateway, HOST, "/browse/1", key=world.random.randrange(65536))


def _judge(world: World) -> bool:
    places: dict[str, set[str]] = {}
    for target in world.targets.values():
        for _, number, _ in target.runs:
            places.setdefault(number, set()).add(target.name)
    over = {number: names for number, names in places.items() if len(names) > MAX_ATTEMPTS}
    for number, names in over.items():
        world.record.note(number, "ran on", " ".join(sorted(names)))
    if len(over) > ALLOWED_REQUESTS:
        world.record.breach(
            f"BUDGET: {len(over)} requests ran on more than {MAX_ATTEMPTS} server, all of them up"
        )
    return world.statuses[200] > 100


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
