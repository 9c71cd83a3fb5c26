"""Steps on routers that follow their view, in virtual time."""

import asyncio
import json

import detangle
from behave import then, when
from router_fakes import range_message, with_owner
from router_world import TREE, error_kind, keep, timed

from indigoworks.wire import control_pb2

AT_ONCE_S = 1e-6
MIDDLE = 2**63


@when("router r1 is cut off from the controllers for 5 s and asked after 1.2 s, 2.1 s and 6.5 s")
def cut_off(context):
    async def script(world):
        await world.start("r1")
        world.cut("r1")
        await asyncio.sleep(1.2)
        responses = [await timed(world.send("r1", "a"))]
        await asyncio.sleep(0.85)
        responses.append(await timed(world.send("r1", "b")))
        await asyncio.sleep(2.9)
        detangle.network().heal()
        await asyncio.sleep(1.5)
        responses.append(await timed(world.send("r1", "c")))
        return responses

    keep(context, script)


@then('the outcomes were "{a}", "{b}" and "{c}"')
def outcomes(context, a, b, c):
    assert [each.outcome.value for each, _ in context.result] == [a, b, c], context.result


@then('the refusal came at once as "{kind}" with a time to come back')
def refused_at_once(context, kind):
    response, took_s = context.result[1]
    assert (error_kind(response), response.status) == (kind, 503)
    assert took_s <= AT_ONCE_S and response.retry_after_s > 0


@when("the controllers answer with a staleness of {staleness:f} s and then no more")
def stale(context, staleness):
    async def script(world):
        await world.start("r1")
        world.cut("r1")
        await asyncio.sleep(5.0)
        world.change(staleness_s=staleness)
        detangle.network().heal()
        router = world.routers["r1"]
        was_in_force = False
        for _ in range(3000):
            await asyncio.sleep(0.001)
            was_in_force = router.in_force() is not None
            if was_in_force:
                break
        world.change(is_silent=True)
        await asyncio.sleep(0.3)
        return was_in_force, router.in_force()

    keep(context, script)


@then("the view was in force after the last answer and is out of force 0.3 s later")
def out_of_force(context):
    assert context.result == (True, None), context.result


@when("the controllers answer an older version, an older generation and older settings")
def older_views(context):
    async def script(world):
        await world.start("r1")
        state = world.controllers[0].state
        state.settings_version = 7
        world.change(state=with_owner(state, "beta", 2), version=9, generation=2)
        await asyncio.sleep(1.0)
        router = world.routers["r1"]
        looks = []
        older_settings = with_owner(state, "alpha", 1)
        older_settings.settings_version = 6
        for changes in (
            {"version": 8, "state": with_owner(state, "alpha", 1)},
            {"version": 20, "generation": 3, "state": older_settings},
            {"version": 20, "generation": 1, "state": with_owner(state, "alpha", 1)},
        ):
            world.change(**changes)
            await asyncio.sleep(2.5)
            view = router.view
            owner = view.assignment("shop", 0).owner
            looks.append((owner, view.generation, view.version, view.settings_version))
        return looks, router.in_force()

    keep(context, script)


@then("the router keeps owner, version and settings")
def kept_view(context):
    looks, _ = context.result
    assert looks == [("beta", 2, 9, 7)] * 3, looks


@then("the answers of the older generation do not renew its lease")
def not_renewed(context):
    assert context.result[1] is None


def half(owner, token, first, **changes):
    ends = {"start": 0, "end": MIDDLE - 1} if first else {"start": MIDDLE, "end": 2**64 - 1}
    return range_message(owner, token, **ends, **changes)


@when("a delta expects another owner than the view has")
def misfit(context):
    async def script(world):
        await world.start("r1")
        change = control_pb2.ChangeRanges(
            expected=[range_message("beta", 1)], replacement=[range_message("alpha", 3)]
        )
        delta = control_pb2.ViewDelta(from_version=1, to_version=2, changes=[change])
        state = with_owner(world.controllers[0].state, "beta", 2)
        world.change(deltas={1: delta}, state=state, version=2)
        await asyncio.sleep(0.2)
        return world.routers["r1"].view

    keep(context, script)


@then("the router asked for a whole view and has the new owner")
def asked_whole(context):
    polls = [poll for each in context.world.controllers for poll in each.polls]
    assert any(poll.known_version == 0 and poll.known_generation == 1 for poll in polls)
    assert context.result.assignment("shop", 0).owner == "beta"


@when("a delta splits the range, moves one half and changes the settings")
def fitting(context):
    async def script(world):
        await world.start("r1")
        split = control_pb2.ChangeRanges(
            expected=[range_message("alpha", 1)],
            replacement=[half("alpha", 1, True), half("alpha", 1, False)],
        )
        move = control_pb2.ChangeRanges(
            expected=[half("alpha", 1, False)], replacement=[half("beta", 2, False)]
        )
        tree = {**TREE, "groups": {"retail": {}, "web": {}}}
        settings = control_pb2.ReplaceSettings(version=2, tree=json.dumps(tree).encode())
        delta = control_pb2.ViewDelta(
            from_version=1, to_version=3, changes=[split, move], settings=settings
        )
        world.change(deltas={1: delta}, version=3)
        await asyncio.sleep(0.2)
        return world.routers["r1"].view

    keep(context, script)


@then("the router has both halves and the new settings without asking for a whole view")
def halves(context):
    view = context.result
    owners = [view.assignment("shop", place).owner for place in (0, MIDDLE - 1, MIDDLE)]
    assert owners == ["alpha", "alpha", "beta"]
    assert (view.version, view.settings_version) == (3, 2) and "web" in view.groups
    polls = [poll for each in context.world.controllers for poll in each.polls]
    assert sum(poll.known_version == 0 for poll in polls) == 1


@when("the first controller falls silent")
def silent_controller(context):
    async def script(world):
        await world.start("r1")
        first, second = sorted(world.controllers, key=lambda each: -len(each.polls))
        before = len(second.polls)
        first.change(is_silent=True)
        looks = []
        for _ in range(400):
            await asyncio.sleep(0.01)
            looks.append(world.routers["r1"].in_force() is not None)
        return all(looks), len(second.polls) - before

    keep(context, script)


@then("the view stays in force and the router polls the other controller")
def failed_over(context):
    stayed, polls = context.result
    assert stayed and polls >= 10, context.result
