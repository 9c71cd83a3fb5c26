"""Step: reads and writes through every router."""

from collections import Counter
from collections.abc import Sequence

from indigoworks_lab.client.call_answer import CallAnswer
from indigoworks_lab.demo.demo_context import DemoContext
from indigoworks_lab.demo.execution_counts import execution_counts
from indigoworks_lab.demo.in_turns import in_turns
from indigoworks_lab.demo.owners_step import owner_of
from indigoworks_lab.launcher.sample_services import CATALOGUE, CHECKOUT, SCHEDULER

ITEMS = 30
OWNERS_CHECKED = 5
POSTS_PER_KEY_AND_ROUTER = 4
POST_KEYS = ("item-17", "item-29", "item-31")


async def send_requests(context: DemoContext) -> None:
    """Write and read through different routers; post what must not run twice; count what ran."""
    context.account.title("Reads and writes through every router")
    await _write_and_read(context)
    await _post_entries(context)
    await _refusals(context)


async def _write_and_read(context: DemoContext) -> None:
    keys = [f"item-{number}" for number in range(ITEMS)]
    written = await _through_routers(context, "PUT", keys, shift=0)
    context.account.check(
        f"{ITEMS} PUTs through 3 routers are completed",
        _all_completed(written),
        _uncompleted(written),
    )
    read = await _through_routers(context, "GET", keys, shift=1)
    values = [answer.fields().get("value") for answer in read]
    context.account.check(
        "the next router reads back each value from the same server",
        values == keys and _servers(read) == _servers(written),
        [(before.server(), after) for before, after in zip(written, read, strict=True)],
    )
    answering = Counter(_servers(read))
    parts = [f"{server} {count}" for server, count in sorted(answering.items())]
    context.account.say("reads answered by: " + ", ".join(parts))
    await _check_owners(context, keys[:OWNERS_CHECKED], read[:OWNERS_CHECKED])


async def _through_routers(
    context: DemoContext, method: str, keys: Sequence[str], shift: int
) -> list[CallAnswer]:
    """Call each key through the router that is `shift` places after the key's number."""
    routers = [router.http for router in context.plan.routers]
    return await in_turns(
        context.caller.call(
            routers[(number + shift) % len(routers)],
            method,
            CATALOGUE,
            key,
            key.encode() if method == "PUT" else None,
        )
        for number, key in enumerate(keys)
    )


async def _check_owners(
    context: DemoContext, keys: Sequence[str], answers: Sequence[CallAnswer]
) -> None:
    owners = [await owner_of(context, CATALOGUE, key) for key in keys]
    context.account.check(
        "the servers that answered are the owners of the keys",
        owners == _servers(answers),
        owners,
    )


async def _post_entries(context: DemoContext) -> None:
    posted = await in_turns(
        context.caller.call(router.http, "POST", CHECKOUT, key, b"entry")
        for key in POST_KEYS
        for router in context.plan.routers
        for _ in range(POSTS_PER_KEY_AND_ROUTER)
    )
    context.account.check(
        f"{len(posted)} POSTs that must not repeat are completed",
        _all_completed(posted),
        _uncompleted(posted),
    )
    counts = await execution_counts(context)
    runs = [counts[answer.request_id] for answer in posted]
    context.account.check(
        "the back ends' histories hold each of them exactly once", runs == [1] * len(runs), runs
    )
    router = context.plan.routers[0].http
    final = [await context.caller.call(router, "GET", CHECKOUT, key) for key in POST_KEYS]
    entry_counts = [answer.fields().get("entry_count") for answer in final]
    expected = POSTS_PER_KEY_AND_ROUTER * len(context.plan.routers)
    context.account.check(
        f"each key counts {expected} of them", entry_counts == [expected] * 3, entry_counts
    )


async def _refusals(context: DemoContext) -> None:
    router = context.plan.routers[1].http
    unknown = await context.caller.call(router, "GET", "no-such-service", "key")
    context.account.check("an unknown service is answered 404", unknown.status == 404, unknown)
    missing = await context.caller.call(router, "GET", SCHEDULER, "")
    context.account.check("a missing key is answered 400", missing.status == 400, missing)


def _servers(answers: Sequence[CallAnswer]) -> list[str]:
    return [answer.server() for answer in answers]


def _all_completed(answers: list[CallAnswer]) -> bool:
    return all(answer.is_completed for answer in answers)


def _uncompleted(answers: list[CallAnswer]) -> list[CallAnswer]:
    return [answer for answer in answers if not answer.is_completed]
