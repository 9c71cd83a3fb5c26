"""Step: who owns what."""

from collections import Counter
from typing import Any

from indigoworks_lab.client.polling import becomes_true
from indigoworks_lab.demo.demo_context import DemoContext
from indigoworks_lab.demo.demo_stopped import DemoStopped
from indigoworks_lab.launcher.sample_services import SERVICES
from indigoworks_lab.launcher.service_plan import ServicePlan

OWNERS_PATH = "/admin/v1/owners"
ALL_OWNED_TIMEOUT_S = 20.0
KEY_SPACE = 2**64
MAX_SHARE_OF_MEAN = 1.5


async def wait_for_owners(context: DemoContext) -> None:
    """Wait until every key of every service has an owner, and every server owns some."""
    context.account.title("Waiting until every key has an owner")
    seen: list[str] = []

    async def is_whole() -> bool:
        seen[:] = await _faults(context)
        return not seen

    owned = await becomes_true(is_whole, ALL_OWNED_TIMEOUT_S)
    context.account.check("all ranges of all services have one owner each", owned, seen)
    if not owned:
        raise DemoStopped("not every key has an owner")


async def show_owners(context: DemoContext) -> None:
    """Print the members, and the ranges and the share of keys of each server."""
    context.account.title("Who owns what (GET /admin/v1/owners and /members at a router)")
    members = await context.client.get(context.plan.routers[0].http, "/admin/v1/members")
    voters = sorted(voter["name"] for voter in members.body.get("voters", []))
    names = sorted(controller.name for controller in context.plan.controllers)
    context.account.check("all 3 controllers are voters", voters == names, members)
    context.account.say(f"leader: {(members.body.get('leader') or {}).get('name')}")
    for plan in SERVICES:
        await _show_service(context, plan)


async def _show_service(context: DemoContext, plan: ServicePlan) -> None:
    ranges = await _ranges(context, plan.service)
    counts = Counter(each["owner"] for each in ranges)
    shares: Counter[str] = Counter()
    for each in ranges:
        shares[each["owner"]] += int(each["end"], 16) - int(each["start"], 16) + 1
    for owner in sorted(counts):
        context.account.say(
            f"{owner:<12} {counts[owner]:>3} ranges {shares[owner] / KEY_SPACE:>5.0%} of the keys"
        )
    largest = max(shares.values(), default=KEY_SPACE) * plan.servers / KEY_SPACE
    context.account.check(
        f"no server of {plan.service} has more than {MAX_SHARE_OF_MEAN} times its part",
        largest <= MAX_SHARE_OF_MEAN,
        largest,
    )


async def owner_of(context: DemoContext, service: str, key: str) -> str:
    """Return the name of the server that owns `key`, as a router tells it."""
    path = f"{OWNERS_PATH}?service={service}&key={key}"
    answer = await context.client.get(context.plan.routers[0].http, path)
    ranges = answer.body.get("ranges", []) if answer.status == 200 else []
    return str(ranges[0]["owner"]) if len(ranges) == 1 else ""


async def _faults(context: DemoContext) -> list[str]:
    faults = []
    for plan in SERVICES:
        ranges = await _ranges(context, plan.service)
        if not _is_whole_ring(ranges):
            faults.append(f"{plan.service}: not every key has an owner")
        owners = {each["owner"] for each in ranges}
        if len(owners) < plan.servers:
            faults.append(f"{plan.service}: {len(owners)} of {plan.servers} servers own keys")
    return faults


async def _ranges(context: DemoContext, service: str) -> list[dict[str, Any]]:
    address = context.plan.routers[0].http
    answer = await context.client.get(address, f"{OWNERS_PATH}?service={service}")
    return list(answer.body["ranges"]) if answer.status == 200 else []


def _is_whole_ring(ranges: list[dict[str, Any]]) -> bool:
    next_start = 0
    for each in ranges:
        if int(each["start"], 16) != next_start or not each["owner"]:
            return False
        next_start = int(each["end"], 16) + 1
    return next_start == KEY_SPACE
