"""Steps on the work that a gateway's queue does for each request."""

import asyncio
import sys

import detangle
from behave import then
from gateway_group_world import GroupWorld


def calls_per_request(waiting, count=1200):
    """Return the calls of functions for each request where `waiting` of them wait all the time."""

    async def main():
        world = GroupWorld(["a"], 4, 0.1, {}, {}, is_keyed=False)
        tasks = []
        for number in range(count):
            tasks += world.send(f"g{number % 2}", 1, aim_s=1000.0)
            await asyncio.sleep(0 if number < waiting else 0.025)
        found = sum(world.queue.waiting_by_service().values())
        assert abs(found - waiting) <= 10, (found, waiting)
        await asyncio.gather(*tasks)

    calls = 0

    def note(_frame, event, _argument):
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(note)
    try:
        detangle.run(main, max_steps=10_000_000)
    finally:
        sys.setprofile(None)
    return calls / count


@then(
    "a gateway queue of {many:d} requests takes at most {factor:g} times the calls a request of "
    "one of {few:d}"
)
def steps(context, many, factor, few):
    low, high = calls_per_request(few), calls_per_request(many)
    assert high <= factor * low, (low, high)
