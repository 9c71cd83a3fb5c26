"""Step: kill one back end under load and see its keys served again."""

import asyncio
from statistics import median

from indigoworks_lab.client.call_answer import CallAnswer
from indigoworks_lab.client.call_stream import CallStream
from indigoworks_lab.client.polling import becomes_true
from indigoworks_lab.demo.demo_context import DemoContext
from indigoworks_lab.demo.execution_counts import execution_counts
from indigoworks_lab.demo.in_turns import in_turns
from indigoworks_lab.demo.owners_step import owner_of
from indigoworks_lab.launcher.sample_services import SCHEDULER

CANDIDATE_KEYS = 40
SERVED_AGAIN_TIMEOUT_S = 15.0


async def lose_back_end(context: DemoContext) -> None:
    """Kill the owner of some keys and measure until each is answered by another server."""
    owners = {
        key: await owner_of(context, SCHEDULER, key)
        for key in (f"slot-{number}" for number in range(CANDIDATE_KEYS))
    }
    victim = owners["slot-0"]
    context.account.title(f"Killing back end {victim} (SIGKILL) while POSTs go on")
    if victim not in context.deployment.launcher.processes:
        context.account.check("the owner of slot-0 is one of the started servers", False, owners)
        return
    lost = [key for key, owner in owners.items() if owner == victim]
    kept = [key for key in owners if key not in lost]

    async def post(number: int) -> CallAnswer:
        router = context.plan.routers[number % len(context.plan.routers)].http
        key = f"slot-{number % CANDIDATE_KEYS}"
        return await context.caller.call(router, "POST", SCHEDULER, key, b"entry")

    async with CallStream(post) as stream:
        await _kill_and_measure(context, victim, lost)
        await _check_kept(context, kept)
    await _check_posts(context, stream)


async def _kill_and_measure(context: DemoContext, victim: str, lost: list[str]) -> None:
    context.deployment.launcher.processes[victim].kill()
    killed_s = asyncio.get_running_loop().time()
    times_s = await asyncio.gather(
        *(_served_again_s(context, key, victim, killed_s) for key in lost)
    )
    served = [time_s for time_s in times_s if time_s is not None]
    context.account.check(
        f"its {len(lost)} sampled keys are served again by others",
        len(served) == len(lost),
        times_s,
    )
    if served:
        context.account.say(
            f"time not served: median {median(served):.2f} s, longest {max(served):.2f} s"
        )


async def _check_kept(context: DemoContext, kept: list[str]) -> None:
    router = context.plan.routers[0].http
    answers = await in_turns(context.caller.call(router, "GET", SCHEDULER, key) for key in kept)
    context.account.check(
        f"{len(kept)} keys of the other servers are served",
        all(answer.is_completed for answer in answers),
        [(answer.status, answer.outcome) for answer in answers],
    )


async def _check_posts(context: DemoContext, stream: CallStream) -> None:
    """Compare outcomes with the histories of the survivors; the victim's is lost with it."""
    context.account.say("POSTs during the loss: " + stream.outcome_text())
    counts = await execution_counts(context)
    twice = [each for each in stream.answers if counts[each.request_id] > 1]
    context.account.check("no POST ran twice at the remaining servers", not twice, twice)
    wrong = [
        each
        for each in stream.answers
        if counts[each.request_id] > 0 and each.outcome != "completed"
    ]
    context.account.check(
        "none that was answered as not run or unknown was run by them", not wrong, wrong
    )


async def _served_again_s(
    context: DemoContext, key: str, victim: str, killed_s: float
) -> float | None:
    router = context.plan.routers[len(key) % len(context.plan.routers)].http

    async def is_served() -> bool:
        answer = await context.caller.call(router, "GET", SCHEDULER, key)
        return answer.is_completed and answer.server() != victim

    if not await becomes_true(is_served, SERVED_AGAIN_TIMEOUT_S):
        return None
    return asyncio.get_running_loop().time() - killed_s
