"""Steps on groups that share the servers of a gateway."""

import asyncio
from random import Random

import detangle
from behave import given, then, when
from gateway_group_world import HALF, KEYS, GroupWorld


def make_runner(context, server_ids, slots, ms, is_keyed=False):
    context.weights, context.times_s = {}, {}

    def run(script):
        async def main():
            values = (slots, ms / 1000, context.weights, context.times_s, is_keyed)
            context.groups = GroupWorld(server_ids, *values)
            return await script(context.groups)

        return detangle.run(main, max_steps=10_000_000)

    context.run_groups = run


@given("a gateway queue before a server of {slots:d} slot and requests of {ms:d} ms")
@given("a gateway queue before a server of {slots:d} slots and requests of {ms:d} ms")
def one_server(context, slots, ms):
    make_runner(context, ["a"], slots, ms)


@given('a gateway queue before the owners "a" and "b" of {slots:d} slots and requests of {ms:d} ms')
def two_owners(context, slots, ms):
    make_runner(context, ["a", "b"], slots, ms, is_keyed=True)


@given('gateway group "{group}" has the weight {weight:g}')
def weighs(context, group, weight):
    context.weights[group] = weight


@given('requests of gateway group "{group}" take {ms:d} ms')
def takes(context, group, ms):
    context.times_s[group] = ms / 1000


@when(
    'gateway group "{one}" sends {few:d} requests a second for {duration_s:d} s '
    'while "{other}" sends {many:d}'
)
def compete(context, one, few, duration_s, other, many):
    async def script(world):
        await asyncio.gather(
            world.arrive(one, few, duration_s), world.arrive(other, many, duration_s)
        )

    context.run_groups(script)


@when(
    'gateway group "{busy}" sends {many:d} requests a second for 10 s and "{rare}" sends one '
    "after 5 s"
)
def lend(context, busy, many, rare):
    async def script(world):
        load = asyncio.ensure_future(world.arrive(busy, many, 10))
        await asyncio.sleep(5)
        await world.ask(rare)
        await load

    context.run_groups(script)


@when(
    'gateway group "{flood}" fills it, then "{first}" sends 3 requests of priority {one:d} and '
    '"{second}" 3 of priority {other:d}'
)
def fill_then(context, flood, first, one, second, other):
    async def script(world):
        tasks = world.send(flood, world.limit("a"), priority=1)
        for group, priority in ((first, one), (second, other)):
            await asyncio.sleep(0.01)
            tasks += world.send(group, 3, priority=priority, aim_s=10.0)
        await asyncio.gather(*tasks)

    context.run_groups(script)


@when(
    'gateway group "{flood}" sends {many:d} requests a second for 10 s to owner "a", and "{calm}" '
    '{few:d} to "a" and {more:d} to "b"'
)
def compete_at_owner(context, flood, many, calm, few, more):
    async def script(world):
        await asyncio.gather(
            world.arrive(flood, many, 10, key=KEYS["a"]),
            world.arrive(calm, few, 10, key=KEYS["a"]),
            world.arrive(calm, more, 10, key=KEYS["b"]),
        )

    context.run_groups(script)


@when('12 requests come to owner "a" and then 8 to "b", of which 6 and 2 wait')
def wait_at_both(context):
    async def wait(world):
        tasks = world.send("g", 12, key=KEYS["a"], aim_s=10.0)
        tasks += world.send("g", 8, key=KEYS["b"], aim_s=10.0)
        await asyncio.sleep(0.01)
        assert sum(world.queue.waiting_by_service().values()) == 8, sum(
            world.queue.waiting_by_service().values()
        )
        return tasks

    context.wait_at_both = wait


@when('all keys move to "b", of which the gateway queue is told {when}')
def move(context, when):
    async def script(world):
        tasks = await context.wait_at_both(world)
        world.own("b", "b", is_told=when == "now")
        await asyncio.gather(*tasks)

    context.run_groups(script)


@when("4 gateway requests come, and the first that waits leaves as it gets its place")
def leave_at_place(context):
    async def script(world):
        tasks = world.send("g", 4, aim_s=10.0)

        def leave():
            if world.asked["g"][2].entry.placement.done():
                tasks[2].cancel()

        world.after_release = leave
        await asyncio.gather(*tasks, return_exceptions=True)
        assert tasks[2].cancelled()

    context.run_groups(script)


@then("the other 3 gateway requests were served, the last within {took_s:g} s")
def others_served(context, took_s):
    asked = context.groups.asked["g"]
    assert [each.busy_s > 0 for each in asked] == [True, True, False, True], asked
    assert asked[3].waited_s < took_s, asked[3]


@when(
    "600 gateway requests of 4 groups come while callers leave, owners change and fail, "
    "with seed {seed:d}"
)
def befall(context, seed):
    random = Random(seed)

    async def script(world):
        tasks = []
        for _ in range(600):
            key = random.randrange(2 * HALF)
            group, priority = f"g{random.randrange(4)}", random.randrange(2)
            asking = world.ask(group, key=key, priority=priority, aim_s=random.uniform(0.2, 2.0))
            tasks.append(asyncio.ensure_future(asking))
            await asyncio.sleep(random.choice((0.0, 0.005, 0.02)))
            if random.random() < 0.2:
                random.choice(tasks).cancel()
            if random.random() < 0.03:
                world.own(*random.choice(("ab", "ba", "aa", "bb")))
            if random.random() < 0.05:
                world.board.down.set_down("b", random.random() < 0.5)
        world.board.down.set_down("b", False)
        context.group_results = await asyncio.gather(*tasks, return_exceptions=True)

    context.run_groups(script)


@then("every gateway request of the queue that was not given up has an answer")
def all_answered(context):
    failures = [each for each in context.group_results if isinstance(each, BaseException)]
    assert all(isinstance(each, asyncio.CancelledError) for each in failures), failures
    placed = sum(each.busy_s > 0 for each in context.groups.placed)
    assert len(context.group_results) == 600 and placed > 200, placed


@then('gateway group "{one}" had between {low:g} and {high:g} times the slot seconds of "{other}"')
def shares(context, one, low, high, other):
    world = context.groups
    found = world.busy_s(one) / world.busy_s(other)
    assert low <= found <= high, (found, world.busy_s(one), world.busy_s(other))


@then("the gateway queue kept to the limits of its servers and is empty")
def exact(context):
    world = context.groups
    for server_id, most in world.most.items():
        assert most <= world.limit(server_id), (server_id, most)
    world.assert_empty()


@then('no request of gateway group "{group}" was refused')
def none_refused(context, group):
    asked = context.groups.asked[group]
    refused = [each.placement for each in asked if each.is_refused()]
    assert asked and not refused, (len(refused), len(asked), refused[0])


@then('no request of gateway group "{group}" waited longer than {limit_s:g} s for its place')
def short_waits(context, group, limit_s):
    longest_s = max(each.waited_s for each in context.groups.asked[group])
    assert longest_s <= limit_s, longest_s


@then('no request of gateway group "{group}" to owner "b" waited')
def no_waits(context, group):
    asked = [each for each in context.groups.asked[group] if each.entry.key == KEYS["b"]]
    assert asked and max(each.waited_s for each in asked) == 0.0


@then('at least {count:d} requests of gateway group "{group}" were served')
def served(context, count, group):
    found = sum(each.busy_s > 0 for each in context.groups.asked[group])
    assert found >= count, found


@then('the gateway queue last gave places to "{groups}"')
def last_places(context, groups):
    expected = groups.split(", ")
    found = [each.entry.group for each in context.groups.placed][-len(expected) :]
    assert found == expected, found


@then("the gateway queue gave places to each group by arrival")
def by_arrival(context):
    for asked in context.groups.asked.values():
        waits = [each for each in context.groups.placed if each in asked]
        assert waits == asked, [each.entry.sequence for each in waits]


@then('the requests that waited got their places at "b" by arrival')
def moved(context):
    placed, asked = context.groups.placed, context.groups.asked["g"]
    waited = [each for each in placed if each.waited_s > 0]
    assert [each.placement.server_id for each in waited] == ["b"] * 8, waited
    assert waited == asked[6:12] + asked[18:], [each.entry.sequence for each in waited]


@when('a gateway request waits for {what}, and that is there unheard before one to "b" ends')
def unheard(context, what):
    async def script(world):
        is_room = what.startswith("room")
        if is_room:
            world.report_of_peer(1, world.limit("a"))
        else:
            world.board.down.set_down("a", True)
        tasks = world.send("g", 1, key=KEYS["b"])
        tasks += world.send("g", 1, key=KEYS["a"], aim_s=3.0)
        await asyncio.sleep(0.05)
        assert sum(world.queue.waiting_by_service().values()) == 1
        world.report_of_peer(2, 0)
        world.board.down.set_down("a", False)
        await asyncio.gather(*tasks)

    context.run_groups(script)


@then('the gateway request that waited got its place at "a" after {waited_s:g} s')
def found_room(context, waited_s):
    asked = context.groups.asked["g"][1]
    assert not asked.is_refused() and asked.placement.server_id == "a", asked
    assert abs(asked.waited_s - waited_s) < 1e-6, asked.waited_s
