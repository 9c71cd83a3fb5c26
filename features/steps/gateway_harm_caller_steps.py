"""Steps on harmful requests of many callers, and on pages that many read."""

import asyncio

from behave import when
from gateway_crash_steps import SETTLE_S, harmful_target, play


@when(
    "a request to {service} that ends its servers comes {count:d} times, one each {gap_s:g} s, "
    "from as many callers"
)
def step_many_callers(context, service, count, gap_s):
    async def repeats(simulation, callers):
        await asyncio.sleep(SETTLE_S)
        target = harmful_target(service)
        simulation.harmful.add(target)
        for number in range(count):
            await callers.repeat(target, f"10.9.1.{number}", 1, gap_s)
        await asyncio.sleep(2 * SETTLE_S)

    context.crash_scripts.append(repeats)
    play(context)
