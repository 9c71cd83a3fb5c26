"""Steps for the view that a router starts from."""

import asyncio

import detangle
from behave import given, then, when
from router_fakes import FakeObjects, with_owner
from router_world import World

from indigoworks.wire.control_pb2 import ChangeRanges, ViewDelta, ViewReply

RUN_S = 1.0


def view_object(world, generation):
    state = world.controllers[0].state
    return ViewReply(version=1, generation=generation, snapshot=state).SerializeToString()


def objects_of(world, kind):
    return {
        "no object": lambda: FakeObjects(),
        "an object store that is down": lambda: FakeObjects(is_down=True),
        "an object that is no view": lambda: FakeObjects(b"\xff\xff\xff"),
        "an object with the view of another generation": lambda: FakeObjects(
            view_object(world, generation=7)
        ),
        "an object with the view of version 1, and a change since then": lambda: FakeObjects(
            view_object(world, generation=1)
        ),
    }[kind]()


@given("router start: {kind}")
def given_object(context, kind):
    context.object_kind = kind


def run_router(context, is_silent):
    async def main():
        world = World()
        world.objects = objects_of(world, context.object_kind)
        earlier = world.controllers[0].state
        state = with_owner(earlier, "beta", token=2)
        change = ChangeRanges(expected=earlier.ranges, replacement=state.ranges)
        delta = ViewDelta(from_version=1, to_version=2, changes=[change])
        for controller in world.controllers:
            controller.change(state=state, version=2, generation=8 if is_later(context) else 1)
            controller.deltas = {1: delta}
            controller.is_silent = is_silent
        await world.start("r1", warm_up_s=RUN_S)
        context.router = world.routers["r1"]
        context.polls = [poll for each in world.controllers for poll in each.polls]
        context.started_s = asyncio.get_running_loop().time()
        context.response = await world.send("r1", "request-1")
        context.took_s = asyncio.get_running_loop().time() - context.started_s
        context.view = context.router.in_force()

    detangle.run(main, reorder=False, fail_on_unobserved=False)


def is_later(context):
    return "another generation" in context.object_kind


@when("router start: a router starts")
def router_starts(context):
    run_router(context, is_silent=False)


@when("router start: a router starts while no controller answers")
def router_starts_alone(context):
    run_router(context, is_silent=True)


@then("router start: its first poll knew version {version:d}")
def first_poll(context, version):
    assert context.polls[0].known_version == version, context.polls[0]


@then("router start: its first poll knew version 1 and it got a delta only")
def delta_only(context):
    first_poll(context, 1)
    assert all(poll.known_version > 0 for poll in context.polls), context.polls


@then("router start: it has the new owner in force")
def new_owner(context):
    assert context.view is not None
    assert context.view.assignment("shop", 0).owner == "beta", context.view.assignment("shop", 0)


@then('router start: a request is refused at once as "{kind}"')
def refused(context, kind):
    assert context.response.error.kind == kind, context.response
    assert context.took_s == 0.0, context.took_s
