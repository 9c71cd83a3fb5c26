"""Cut links put into a run of real processes."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from itertools import count

from indigoworks_lab.checkers.history.execution import Execution
from indigoworks_lab.client.polling import becomes_true
from indigoworks_lab.launcher.controller_plan import ControllerPlan
from indigoworks_lab.launcher.router_plan import RouterPlan
from indigoworks_lab.launcher.sample_services import CHECKOUT
from indigoworks_lab.launcher.server_plan import ServerPlan
from indigoworks_lab.link_relay.flow_table import SEPARATOR
from indigoworks_lab.link_relay.relay_steering import CUT, HEALTHY
from indigoworks_lab.process_run.link_run import LinkRun
from indigoworks_lab.process_run.link_stage import LinkStage
from indigoworks_lab.process_run.process_run import SERVED_TIMEOUT_S
from indigoworks_lab.process_run.router_probe import RouterProbe
from indigoworks_lab.process_run.server_probe import ServerProbe

CUT_S = 5.0
"""Longer than every lease of the system."""

REFUSED_PROBES = 20
REFUSED_STATUS = 503
ACCEPTED_STATUSES = (200, 202)
KEY = "order-1"

LinkFault = Callable[[LinkRun], Awaitable[None]]
Process = ControllerPlan | RouterPlan | ServerPlan
Flows = Sequence[tuple[str, str]]


async def cut_leader(run: LinkRun) -> None:
    """Cut the leader, and the router of its zone, from the other controllers, both ways.

    The leader reaches the store, so it stays the leader; the others learn from the store what it
    commits, and change nothing.
    """
    old = await _leader(run, run.plan.controllers)
    router = run.router_in(old.zone)
    others = run.other_controllers(old.name)
    flows = [*_both_ways(old.name, others), *_both_ways(router.name, others)]
    async with _cut(run, "leader and a router cut from the other controllers", flows):
        await asyncio.sleep(CUT_S)
        await _change_accepted(run, old, "at-the-leader")
        await _settings_at_controllers(run)
        version = await run.settings.version_at(others[0].http)
        status = await run.settings.change(others[0].http, "beside-the-leader", version or 0)
        _require(status == REFUSED_STATUS, f"a controller cut from the leader answered {status}")
        told = await run.leader_told_by(old)
        _require(told == old.name, f"the leader was deposed; {told!r} leads")
        await _forwards_again(run, router)
        _require(await run.all_keys_served(), "a key is not served beside the cut")
    await _settings_everywhere(run)


async def cut_router(run: LinkRun) -> None:
    """Cut a router from all controllers, both ways."""
    router = run.plan.routers[1]
    flows = _both_ways(router.name, run.plan.controllers)
    async with _cut(run, "router cut from all controllers", flows, router):
        await _stops_forwarding(run, router)
        _require(await run.all_keys_served(), "a key is not served beside the cut")
    await _forwards_again(run, router)


async def cut_back_end(run: LinkRun) -> None:
    """Cut a back end from the controllers, both ways; routers reach it all the while."""
    server = run.plan.servers[0]
    probe = ServerProbe()
    earlier = await _accepted_grant(run, server, probe)
    flows = _both_ways(server.name, run.plan.controllers)
    async with _cut(run, "back end cut from the controllers", flows):

        async def is_lost() -> bool:
            return await _state_of(run, server.name) not in ("live", "")

        _require(await becomes_true(is_lost, SERVED_TIMEOUT_S), "the cut back end is not lost")
        _require(await run.all_keys_served(), "a key is not served by the others")
        _require(await probe.refuses(server, earlier), "the cut back end ran a request")

    async def is_registered() -> bool:
        return await _state_of(run, server.name) == "live"

    _require(await becomes_true(is_registered, SERVED_TIMEOUT_S), "it is not registered again")
    _require(await probe.refuses(server, earlier), "it ran a request under its old grant")
    probe.close()


async def cut_one_way(run: LinkRun) -> None:
    """Cut the bytes from the leader to one follower; those from the follower still arrive."""
    leader = await _leader(run, run.plan.controllers)
    follower = run.other_controllers(leader.name)[0]
    async with _cut(run, "one way, leader to follower", [(leader.name, follower.name)]):
        await asyncio.sleep(CUT_S)
        other = run.other_controllers(leader.name)[1]
        await _change_accepted(run, other, "one-way")
        _require(await run.all_keys_served(), "a key is not served beside the cut")
    await _settings_everywhere(run)


def _both_ways(name: str, others: Sequence[Process]) -> Flows:
    return [flow for other in others for flow in ((name, other.name), (other.name, name))]


@asynccontextmanager
async def _cut(
    run: LinkRun, name: str, flows: Flows, router: RouterPlan | None = None
) -> AsyncIterator[None]:
    """Cut `flows` within the context; after it, every key must be served over healed links.

    :param router: router that must stop forwarding meanwhile.
    """
    names = [SEPARATOR.join(flow) for flow in flows]
    before = await run.held()
    stage = LinkStage(name, _now_s(), names, () if router is None else (router.name,))
    run.stages.append(stage)
    for flow in flows:
        await run.relay.set_flow(*flow, CUT)
    yield
    held = await run.held()
    stage.held = {each: held[each] - before[each] for each in names}
    for flow in flows:
        await run.relay.set_flow(*flow, HEALTHY)
    _require(await run.all_keys_served(), "a key is not served after the cut")
    stage.to_s = _now_s()


async def _leader(
    run: LinkRun, controllers: Sequence[ControllerPlan], but: str = ""
) -> ControllerPlan:
    """Return the leader as soon as all of `controllers` tell the same one, and not `but`."""
    told: set[str] = set()

    async def agree() -> bool:
        told.clear()
        told.update([await run.leader_told_by(each) for each in controllers])
        return len(told) == 1 and not told & {"", but}

    _require(await becomes_true(agree, SERVED_TIMEOUT_S), f"no leader but {but!r} is agreed on")
    return run.controller(told.pop())


async def _change_accepted(run: LinkRun, node: ControllerPlan, change_id: str) -> None:
    """Change the settings at `node`; a refused change is asked for anew under another id."""
    numbers = count(1)

    async def is_accepted() -> bool:
        version = await run.settings.version_at(node.http)
        status = await run.settings.change(node.http, f"{change_id}-{next(numbers)}", version or 0)
        return status in ACCEPTED_STATUSES

    _require(await becomes_true(is_accepted, SERVED_TIMEOUT_S), "no change is accepted")


async def _stops_forwarding(run: LinkRun, router: RouterPlan) -> None:
    probe = RouterProbe(CHECKOUT)

    async def refuses() -> bool:
        return await probe.refuses(router, KEY)

    _require(await becomes_true(refuses, SERVED_TIMEOUT_S), "the cut router goes on forwarding")
    for _ in range(REFUSED_PROBES):
        _require(await refuses(), "the cut router forwards again")


async def _forwards_again(run: LinkRun, router: RouterPlan) -> None:
    moment_s = _now_s()

    async def forwards() -> bool:
        return router.name in run.recorder.routers_served_since(moment_s)

    _require(await becomes_true(forwards, SERVED_TIMEOUT_S), "the healed router does not forward")


async def _settings_everywhere(run: LinkRun) -> None:
    """Wait until all controllers and routers have the newest accepted change."""

    async def are_in_force() -> bool:
        observed = [await run.settings.observe(each.http) for each in run.plan.controllers]
        return await _are_at_controllers(run) and all(observed)

    _require(await becomes_true(are_in_force, SERVED_TIMEOUT_S), "the change is not everywhere")


async def _settings_at_controllers(run: LinkRun) -> None:
    """Wait until all controllers have the newest accepted change, whatever routers they hear."""

    async def are_there() -> bool:
        return await _are_at_controllers(run)

    _require(await becomes_true(are_there, SERVED_TIMEOUT_S), "a controller lacks the change")


async def _are_at_controllers(run: LinkRun) -> bool:
    newest = max(change.version for change in run.settings.changes)
    versions = {await run.settings.version_at(each.http) for each in run.plan.controllers}
    return versions == {newest}


async def _accepted_grant(run: LinkRun, server: ServerPlan, probe: ServerProbe) -> Execution:
    """Return an execution whose grant the server still accepts: later refusals mean something."""
    found: list[Execution] = []

    async def is_accepted() -> bool:
        found[:] = [each for each in run.history().executions if each.server == server.name][-1:]
        return bool(found) and not await probe.refuses(server, found[0])

    _require(await becomes_true(is_accepted, SERVED_TIMEOUT_S), "the back end accepts no probe")
    return found[0]


async def _state_of(run: LinkRun, server: str) -> str:
    answer = await run.client.get(run.plan.controllers[0].http, "/admin/v1/servers")
    rows = answer.body["servers"] if answer.status == 200 else []
    return next((str(row["state"]) for row in rows if row["name"] == server), "")


def _require(is_met: bool, text: str) -> None:
    if not is_met:
        raise AssertionError(text)


def _now_s() -> float:
    return asyncio.get_running_loop().time()


LINK_FAULTS: dict[str, LinkFault] = {
    "the leader and a router are cut from the other controllers": cut_leader,
    "a router is cut from all controllers": cut_router,
    "a back end is cut from the controllers": cut_back_end,
    "the leader cannot reach a follower that reaches it": cut_one_way,
}
