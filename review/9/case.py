"""BUDGET: a request that crashes the one target that is left is sent to it again and again."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lab_2"))

from client import call  # noqa: E402
from fleet import route  # noqa: E402
from http_stream import Message  # noqa: E402
from stand_in_target import Target  # noqa: E402
from world import World, run_case  # noqa: E402

GATEWAYS = 3
DOWN_S = 2.5
GAP_S = 0.5
PLAYED_S = 30.0
CONTACT_S = 3.0
CRASHES = 3
MOST_LATE = 3
HEARTBEATS_S = 2.4
HARMFUL = "/u/harmful"
HARMLESS = "/u/harmless"


class Crashing:
    """A target that ends as it begins to run the harmful request, and comes back.

    :ivar reached_s: when the request reached a target.
    :ivar crashed_s: when a target crashed under it.
    """

    def __init__(self, harmful: bool) -> None:
        self.reached_s: list[float] = []
        self.crashed_s: list[float] = []
        self._harmful = harmful

    async def behave(self, target: Target, request: Message, writer: asyncio.StreamWriter) -> bool:
        """End at once if the request is the harmful one."""
        if request.first.split(" ")[1] != HARMFUL:
            return False
        self.reached_s.append(time.monotonic())
        if not self._harmful:
            return False
        target.begin(request)
        target.note(f"begins to run {request.headers['x-indigoworks-attempt-id']}")
        self.crashed_s.append(time.monotonic())
        asyncio.ensure_future(target.crash_for(DOWN_S))
        await asyncio.sleep(1.0)
        return True


async def play(world: World, trouble: bool) -> list[str]:
    """Lose one of two targets for good; then a caller sends the harmful request again and again."""
    targets = [Target(f"p{number}", "plain") for number in range(2)]
    crashing = Crashing(trouble)
    for target in targets:
        target.behaviour = crashing.behave
    await world.start(targets, GATEWAYS)
    await asyncio.sleep(2.0)
    lost = targets[1]
    lost.is_listed = False
    lost.crash()
    lost.note("is lost for good")
    await asyncio.sleep(HEARTBEATS_S)
    world.store.remove("servers", lost.server_id)
    world.note(f"the entry of {lost.server_id} has gone")
    await asyncio.sleep(CONTACT_S)
    others = asyncio.ensure_future(_call_harmless(world))
    end_s = time.monotonic() + PLAYED_S
    number = 0
    while time.monotonic() < end_s:
        gateway = world.gateways[number % GATEWAYS]
        number += 1
        outcome = await call(gateway.front, HARMFUL, "POST", b"x", 2000)
        world.note(f"{outcome.attempt} at {gateway.name}: {outcome.status or 'no answer'}")
        await asyncio.sleep(GAP_S)
    others.cancel()
    if len(crashing.crashed_s) < CRASHES:
        return []
    from_s = crashing.crashed_s[CRASHES - 1] + CONTACT_S
    late_s = [world.since_start(each) for each in crashing.reached_s if each > from_s]
    for each in crashing.crashed_s:
        world.note(f"crash at {world.since_start(each):.3f}")
    if len(late_s) <= MOST_LATE:
        return []
    times = ", ".join(f"{each:.3f}" for each in late_s)
    return [
        f"BUDGET: {len(late_s)} retries reached a target later than contact after the third "
        f"crash (from {world.since_start(from_s):.3f}): {times}"
    ]


async def _call_harmless(world: World) -> None:
    number = 0
    while True:
        gateway = world.gateways[number % GATEWAYS]
        number += 1
        await call(gateway.front, HARMLESS, "POST", b"x", 1000)
        await asyncio.sleep(0.1)


if __name__ == "__main__":
    world = World([route("u", "/u/", "unsafe", "plain")], {"plain": False})
    sys.exit(run_case(HERE, world, play))
