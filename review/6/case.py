"""OWNER: after a drill of the store, the leader acts by old rows that the copy brings back."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lab_2"))

from client import call  # noqa: E402
from fleet import route  # noqa: E402
from owner_check import check_spans, check_tokens  # noqa: E402
from stand_in_target import Target  # noqa: E402
from world import World, run_case  # noqa: E402

KEY = 100
TARGETS = 5
GATEWAYS = 18
DOWN_S = 3.2
COPY_TO_CRASH_S = 1.0
CRASH_TO_AWAY_S = 1.5
AWAY_S = 3.0
AFTER_S = 8.0


async def play(world: World, trouble: bool) -> list[str]:
    """Crash a target; while its keys pass on, the store leaves and comes back from a copy."""
    targets = [Target(f"k{number}", "keyed", is_keyed=True) for number in range(TARGETS)]
    await world.start(targets, GATEWAYS)
    await world.wait_for_holders()
    await asyncio.sleep(3.0)
    callers = [asyncio.ensure_future(_call(world, number)) for number in range(6)]
    await asyncio.sleep(1.0)
    first = world.holder(KEY)
    assert first is not None
    world.note(f"{first.server_id} holds key {KEY}")
    if trouble:
        copy = world.store.copy()
        world.note("the store's copy is made")
        await asyncio.sleep(COPY_TO_CRASH_S)
        crash = asyncio.ensure_future(first.crash_for(DOWN_S))
        await asyncio.sleep(CRASH_TO_AWAY_S)
        world.store.leave()
        world.note("the store is away")
        await asyncio.sleep(AWAY_S)
        world.store.come_back(copy)
        world.note("the store is back from the copy; Store-Era 1")
        world.configure()
        for target in targets:
            target.write_entry()
        await crash
    await asyncio.sleep(AFTER_S)
    for each in callers:
        each.cancel()
    taken = sorted((each for target in targets for each in target.taken), key=lambda e: e.at_s)
    spans = [each for target in targets for each in target.spans]
    _note_runs(world)
    return [
        *check_tokens(taken, [], world.started_s),
        *check_spans(spans, time.monotonic(), world.started_s),
    ]


async def _call(world: World, number: int) -> None:
    """Send requests for the key, one after the other."""
    while True:
        gateway = world.gateways[number % GATEWAYS]
        number += 6
        outcome = await call(gateway.front, "/ku/x", "POST", b"x", 1000, KEY)
        world.note(f"request {outcome.attempt} at {gateway.name}: {outcome.status or 'no answer'}")
        await asyncio.sleep(0.1)


def _note_runs(world: World) -> None:
    for target in world.targets:
        for at_s, attempt, _, _, key, token in target.runs:
            text = f"{target.server_id} runs {attempt} on key {key} under token {token}"
            target.notes.append((at_s, text))


if __name__ == "__main__":
    world = World([route("ku", "/ku/", "unsafe", "keyed")], {"keyed": True})
    sys.exit(run_case(HERE, world, play))
