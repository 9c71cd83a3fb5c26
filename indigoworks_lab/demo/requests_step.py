"""Step: reads and writes through every router."""

from collections import Counter

from indigoworks_lab.demo.call_answer import CallAnswer
from indigoworks_lab.demo.demo_context import DemoContext
from indigoworks_lab.demo.demo_services import CATALOGUE, CHECKOUT, SCHEDULER
from indigoworks_lab.demo.execution_counts import execution_counts
from indigoworks_lab.demo.in_turns import in_turns
from indigoworks_lab.demo.owners_step import owner_of

PAGES = 30
DEPOSITS_PER_KEY_AND_ROUTER = 4
DEPOSIT_KEYS = ("order-17", "order-29", "order-31")


async def send_requests(context: DemoContext) -> None:
    """Write and read through different routers; post what must not run twice; count what ran."""
    context.account.title("Reads and writes through every router")
    await _write_and_read(context)
    await _post_deposits(context)
    await _refusals(context)


async def _write_and_read(context: DemoContext) -> None:
    routers = [router.http for router in context.plan.routers]
    keys = [f"sofa-{number}" for number in range(PAGES)]
    written = await in_turns(
        context.caller.call(routers[index % 3], "PUT", CATALOGUE, key, key.encode())
        for index, key in enumerate(keys)
    )
    context.account.check(
        f"{PAGES} PUTs through 3 routers are completed", _all_completed(written), _seen(written)
    )
    read = await in_turns(
        context.caller.call(routers[(index + 1) % 3], "GET", CATALOGUE, key)
        for index, key in enumerate(keys)
    )
    values = [answer.fields().get("value") for answer in read]
    context.account.check(
        "the next router reads back each value from the same server",
        values == keys and [each.server() for each in read] == [w.server() for w in written],
        [(before.server(), after) for before, after in zip(written, read, strict=True)],
    )
    answering = Counter(answer.server() for answer in read)
    parts = [f"{server} {count}" for server, count in sorted(answering.items())]
    context.account.say("reads answered by: " + ", ".join(parts))
    owners = [await owner_of(context, CATALOGUE, key) for key in keys[:5]]
    context.account.check(
        "the servers that answered are the owners of the keys",
        owners == [answer.server() for answer in read[:5]],
        owners,
    )


async def _post_deposits(context: DemoContext) -> None:
    posted = await in_turns(
        context.caller.call(router.http, "POST", CHECKOUT, key, b"deposit")
        for key in DEPOSIT_KEYS
        for router in context.plan.routers
        for _ in range(DEPOSITS_PER_KEY_AND_ROUTER)
    )
    context.account.check(
        f"{len(posted)} POSTs that must not repeat are completed",
        _all_completed(posted),
        _seen(posted),
    )
    counts = await execution_counts(context)
    runs = [counts[answer.request_id] for answer in posted]
    context.account.check(
        "the back ends' histories hold each of them exactly once", runs == [1] * len(runs), runs
    )
    router = context.plan.routers[0].http
    final = [await context.caller.call(router, "GET", CHECKOUT, key) for key in DEPOSIT_KEYS]
    bookings = [answer.fields().get("booking_count") for answer in final]
    expected = DEPOSITS_PER_KEY_AND_ROUTER * len(context.plan.routers)
    context.account.check(
        f"each key counts {expected} of them", bookings == [expected] * 3, bookings
    )


async def _refusals(context: DemoContext) -> None:
    router = context.plan.routers[1].http
    unknown = await context.caller.call(router, "GET", "no-such-service", "key")
    context.account.check("an unknown service is answered 404", unknown.status == 404, unknown)
    missing = await context.caller.call(router, "GET", SCHEDULER, "")
    context.account.check("a missing key is answered 400", missing.status == 400, missing)


def _all_completed(answers: list[CallAnswer]) -> bool:
    return all(answer.is_completed for answer in answers)


def _seen(answers: list[CallAnswer]) -> list[CallAnswer]:
    return [answer for answer in answers if not answer.is_completed]
