"""Steps of the agreement. They write a script; the last step of a scenario runs it."""

import asyncio
from collections.abc import Callable
from typing import Any
from unittest import mock

import detangle
from behave import given, then, when
from consensus_cluster import Cluster, SafetyViolated, Step, run_script

from indigoworks.consensus.leader_support import LeaderSupport
from indigoworks.consensus.role import Role
from indigoworks.wire.control_pb2 import Command, ReplaceSettings


def add(context: Any, step: Step) -> None:
    context.script.append(step)


def write_down(call: Callable[[Cluster], None]) -> Step:
    async def step(cluster: Cluster) -> None:
        call(cluster)

    return step


@given("an agreement group of {size:d} controllers in {zones:d} zones")
def _group(context: Any, size: int, zones: int) -> None:
    context.size, context.zones, context.script = size, zones, []


@when("the agreement group has {count:d} voters")
@then("the agreement group has {count:d} voters")
def _voters(context: Any, count: int) -> None:
    async def step(cluster: Cluster) -> None:
        await cluster.until(lambda: len(cluster.voters()) == count, f"{count} voters")
        await cluster.until(
            lambda: (
                len(cluster.row().configuration.voters) == count
                and not cluster.row().HasField("next_configuration")
            ),
            f"{count} voters in the row",
        )

    add(context, step)


@when('the agreement commits "{text}"')
@then('the agreement commits "{text}"')
def _commit(context: Any, text: str) -> None:
    add(context, lambda cluster: cluster.commit(text))


@when("the agreement commits {count:d} commands")
def _commit_many(context: Any, count: int) -> None:
    async def step(cluster: Cluster) -> None:
        for number in range(count):
            await cluster.commit(f"n{number}")

    add(context, step)


@when("the agreement leader crashes")
def _leader_crashes(context: Any) -> None:
    async def step(cluster: Cluster) -> None:
        cluster.crash(await cluster.until_leader())

    add(context, step)


@when("an agreement voter that follows crashes and starts again")
def _follower_restarts(context: Any) -> None:
    async def step(cluster: Cluster) -> None:
        leader = await cluster.until_leader()
        name = next(name for name in cluster.names if name != leader)
        cluster.noted["voters"] = cluster.voters()
        cluster.crash(name)
        await asyncio.sleep(0.1)
        cluster.restart(name)
        cluster.noted["restarted"] = name

    add(context, step)


@when("a follower of the agreement crashes and the machine list drops it")
def _follower_dropped(context: Any) -> None:
    async def step(cluster: Cluster) -> None:
        leader = await cluster.until_leader()
        name = next(name for name in cluster.names if name != leader)
        cluster.crash(name)
        del cluster.machines.records[name]

    add(context, step)


@when("the crashed agreement controllers start again")
def _restart(context: Any) -> None:
    def step(cluster: Cluster) -> None:
        for name in list(cluster.crashed):
            cluster.restart(name)

    add(context, write_down(step))


@when("all agreement controllers crash")
def _all_crash(context: Any) -> None:
    def step(cluster: Cluster) -> None:
        for name in list(cluster.nodes):
            cluster.crash(name)

    add(context, write_down(step))


@when("both followers of the agreement crash and start again at once")
def _both_followers(context: Any) -> None:
    async def step(cluster: Cluster) -> None:
        leader = await cluster.until_leader()
        cluster.noted["survivor"] = leader
        for name in [name for name in cluster.names if name != leader]:
            cluster.crash(name)
            cluster.restart(name)

    add(context, step)


@when("a controller joins the agreement")
def _joins(context: Any) -> None:
    def step(cluster: Cluster) -> None:
        name = f"c{len(cluster.names) + 1}"
        cluster.names.append(name)
        cluster.start(name)
        cluster.noted["joined"] = name

    add(context, write_down(step))


@when("the agreement leader is cut off")
def _cut_off(context: Any) -> None:
    async def step(cluster: Cluster) -> None:
        name = await cluster.until_leader()
        cluster.noted["cut"] = name
        cluster.cut_off(name)
        proposal = cluster.nodes[name].propose(
            Command(replace_settings=ReplaceSettings(change_id="cut"))
        )
        cluster.noted["proposal"] = asyncio.create_task(proposal)

    add(context, step)


@when("the link between the agreement leader and one follower is cut for {duration:d} s")
def _one_link(context: Any, duration: int) -> None:
    async def step(cluster: Cluster) -> None:
        leader = await cluster.until_leader()
        cluster.noted["first"] = leader
        follower = next(name for name in cluster.names if name != leader)
        detangle.network().disconnect(cluster.host(leader), cluster.host(follower))
        await asyncio.sleep(duration)

    add(context, step)


@when("the agreement network heals")
def _heal(context: Any) -> None:
    add(context, write_down(lambda cluster: detangle.network().heal()))


@when("the platform of the agreement is down")
def _platform_down(context: Any) -> None:
    def step(cluster: Cluster) -> None:
        cluster.table.is_down = True
        cluster.noted["row"] = cluster.row()

    add(context, write_down(step))


@when("the platform of the agreement is up again")
def _platform_up(context: Any) -> None:
    def step(cluster: Cluster) -> None:
        cluster.table.is_down = False
        cluster.table.loses_answers = False

    add(context, write_down(step))


@when("the table service loses the answer of the next agreement write")
def _loses_answers(context: Any) -> None:
    def step(cluster: Cluster) -> None:
        cluster.table.loses_answers = True

    add(context, write_down(step))


@when("an agreement answer was lost")
def _answer_lost(context: Any) -> None:
    add(context, lambda c: c.until(lambda: c.table.answers_lost > 0, "a lost answer"))


@when("{duration:d} s pass in the agreement")
def _time_passes(context: Any, duration: int) -> None:
    add(context, lambda cluster: asyncio.sleep(duration))


@when("the agreement leader is stopped as planned")
def _planned_stop(context: Any) -> None:
    async def step(cluster: Cluster) -> None:
        name = await cluster.until_leader()
        node = cluster.nodes[name]
        cluster.noted["stopped"] = node.status.member
        cluster.noted["term"] = node.status.term
        started_at = asyncio.get_running_loop().time()
        await node.stop()
        cluster.noted["stop_s"] = asyncio.get_running_loop().time() - started_at
        del cluster.nodes[name], cluster.states[name]

    add(context, step)


@then("the stopped controller is no member of the agreement and had a successor in {limit:g} s")
def _left(context: Any, limit: float) -> None:
    async def step(cluster: Cluster) -> None:
        leader = await cluster.until_leader()
        status = cluster.nodes[leader].status
        stopped = cluster.noted["stopped"]
        members = [*status.configuration.voters, *status.configuration.learners]
        assert stopped not in members
        # One term further: the successor was elected at once, not after a silence.
        assert status.term == cluster.noted["term"] + 1, status.term
        assert cluster.noted["stop_s"] < limit, cluster.noted["stop_s"]

    add(context, step)


@then('every running controller of the agreement has applied "{texts}"')
def _applied(context: Any, texts: str) -> None:
    expected = texts.split(",")

    async def step(cluster: Cluster) -> None:
        def all_applied() -> bool:
            return all(state.texts() == expected for state in cluster.states.values())

        await cluster.until(all_applied, f"{expected} everywhere")

    add(context, step)


@then("the controller that joined the agreement took a snapshot and has applied {count:d} commands")
def _joined(context: Any, count: int) -> None:
    async def step(cluster: Cluster) -> None:
        name = str(cluster.noted["joined"])
        await cluster.until(
            lambda: name in cluster.states and len(cluster.states[name].texts()) == count,
            "all commands",
        )
        leader = await cluster.until_leader()
        first_kept = cluster.nodes[leader]._replica.log.base_index
        assert first_kept > count / 2, first_kept

    add(context, step)


@then("another agreement leader is found while the first has lost its lease")
def _another_leader(context: Any) -> None:
    async def step(cluster: Cluster) -> None:
        # The watch fails the run should both hold the lease at any look.
        await cluster.until_leader(other_than=str(cluster.noted["cut"]))
        assert not cluster.nodes[str(cluster.noted["cut"])].holds_quorum_lease()

    add(context, step)


@then("the command at the cut-off agreement leader has an unknown outcome")
def _unknown(context: Any) -> None:
    async def step(cluster: Cluster) -> None:
        outcome = await cluster.noted["proposal"]
        assert outcome.unwrap_err().kind == "outcome_unknown", outcome

    add(context, step)


@then("the first agreement leader still leads")
def _still_leads(context: Any) -> None:
    async def step(cluster: Cluster) -> None:
        assert cluster.leader() == cluster.noted["first"]

    add(context, step)


@then("the restarted controller first learns, and then votes, in the agreement")
def _learns_first(context: Any) -> None:
    async def step(cluster: Cluster) -> None:
        name = str(cluster.noted["restarted"])
        await cluster.until(lambda: name in cluster.nodes, "a new run")
        node = cluster.nodes[name]
        assert node.status.role is Role.LEARNER
        await cluster.until(lambda: node.status.role is Role.FOLLOWER, "a vote again")
        assert cluster.voters() != cluster.noted["voters"]

    add(context, step)


@then("the agreement stays without a leader for {duration:d} s")
def _no_leader(context: Any, duration: int) -> None:
    async def step(cluster: Cluster) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + duration
        while loop.time() < end:
            assert cluster.leader() is None, "a minority formed a generation"
            await asyncio.sleep(0.1)

    add(context, step)


@then("the agreement has reached generation {generation:d}")
def _generation(context: Any, generation: int) -> None:
    async def step(cluster: Cluster) -> None:
        await cluster.until(
            lambda: (
                cluster.leader() is not None
                and all(n.status.generation == generation for n in cluster.nodes.values())
            ),
            f"generation {generation}",
        )

    add(context, step)


@then("the row of the agreement is as it was")
def _row_unchanged(context: Any) -> None:
    async def step(cluster: Cluster) -> None:
        assert cluster.row() == cluster.noted["row"]

    add(context, step)


@then("every zone of the agreement has at most {count:d} voters")
def _zones(context: Any, count: int) -> None:
    async def step(cluster: Cluster) -> None:
        def is_spread() -> bool:
            leader = cluster.leader()
            if leader is None:
                return False
            voters = cluster.nodes[leader].status.configuration.voters
            zones = [voter.zone for voter in voters]
            return len(zones) == 5 and all(zones.count(zone) <= count for zone in zones)

        await cluster.until(is_spread, "voters spread over the zones")

    add(context, step)


@then("this run of the agreement holds for seeds {first:d} to {last:d}")
def _run(context: Any, first: int, last: int) -> None:
    for seed in range(first, last + 1):
        run_script(context.size, context.zones, seed, context.script)


@then("the watch of the agreement catches a voter that forgets its promise, seeds {a:d} to {b:d}")
def _caught(context: Any, a: int, b: int) -> None:
    with (
        mock.patch.object(LeaderSupport, "has_lapsed", lambda self: True),
        mock.patch.object(LeaderSupport, "may_support", lambda self, request: True),
    ):
        caught = 0
        for seed in range(a, b + 1):
            try:
                run_script(context.size, context.zones, seed, context.script)
            except SafetyViolated:
                caught += 1
        assert caught, "the broken rule was never seen"
