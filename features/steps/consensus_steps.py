"""Steps that start an agreement group and act on it, as parts of a script."""

import asyncio
from typing import Any

import detangle
from behave import given, then, when
from consensus_cluster import Cluster
from consensus_script import script

from indigoworks.wire.control_pb2 import Command, ReplaceSettings


@given("an agreement group of {size:d} controllers in {zones:d} zones")
def _group(context: Any, size: int, zones: int) -> None:
    context.size, context.zones, context.script = size, zones, []


@when("the agreement group has {count:d} voters")
@then("the agreement group has {count:d} voters")
def _voters(context: Any, count: int) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        await cluster.until(lambda: len(cluster.voters()) == count, f"{count} voters")
        await cluster.until(
            lambda: (
                len(cluster.row().configuration.voters) == count
                and not cluster.row().HasField("next_configuration")
            ),
            f"{count} voters in the row",
        )


@when('the agreement commits "{text}"')
@then('the agreement commits "{text}"')
def _commit(context: Any, text: str) -> None:
    script(context)(lambda cluster: cluster.commit(text))


@when("the agreement commits {count:d} commands")
def _commit_many(context: Any, count: int) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        for number in range(count):
            await cluster.commit(f"n{number}")


@when("the agreement commits {count:d} commands past a follower that is cut off")
def _commit_past(context: Any, count: int) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        leader = await cluster.until_leader()
        follower = next(name for name in cluster.names if name != leader)
        cluster.cut_off(follower)
        for number in range(count):
            await cluster.commit(f"n{number}")
        assert len(cluster.states[follower].texts()) < count


@when("the agreement leader crashes and the network heals")
def _crash_and_heal(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        cluster.crash(await cluster.until_leader())
        detangle.network().heal()


@when("the agreement leader crashes")
def _leader_crashes(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        cluster.crash(await cluster.until_leader())


@when("the controller about to become the second voter of the agreement crashes")
def _second_voter_crashes(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        await cluster.until_leader()
        # The row names the change a moment before the new voter can have heard of it.
        await cluster.until(
            lambda: len(cluster.row().next_configuration.voters) == 2, "a change", interval_s=0.001
        )
        cluster.crash(cluster.row().next_configuration.voters[1].name)


@when("an agreement voter that follows crashes and starts again")
def _follower_restarts(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        leader = await cluster.until_leader()
        name = next(name for name in cluster.names if name != leader)
        cluster.noted["voters"] = cluster.voters()
        cluster.crash(name)
        await asyncio.sleep(0.1)
        cluster.restart(name)
        cluster.noted["restarted"] = name


@when("a follower of the agreement crashes and the machine list drops it")
def _follower_dropped(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        leader = await cluster.until_leader()
        name = next(name for name in cluster.names if name != leader)
        cluster.crash(name)
        del cluster.machines.records[name]


@when("the crashed agreement controllers start again")
def _restart(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        for name in list(cluster.crashed):
            cluster.restart(name)


@when("all agreement controllers crash")
def _all_crash(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        for name in list(cluster.nodes):
            cluster.crash(name)


@when("both followers of the agreement crash and start again at once")
def _both_followers(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        leader = await cluster.until_leader()
        cluster.noted["survivor"] = leader
        for name in [name for name in cluster.names if name != leader]:
            cluster.crash(name)
            cluster.restart(name)


@when("a controller joins the agreement")
def _joins(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        name = f"c{len(cluster.names) + 1}"
        cluster.names.append(name)
        cluster.start(name)
        cluster.noted["joined"] = name


@when("the agreement leader is cut off")
def _cut_off(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        name = await cluster.until_leader()
        cluster.noted["cut"] = name
        cluster.cut_off(name)
        proposal = cluster.nodes[name].propose(
            Command(replace_settings=ReplaceSettings(change_id="cut"))
        )
        cluster.noted["proposal"] = asyncio.create_task(proposal)


@when("the link between the agreement leader and one follower is cut for {duration:d} s")
def _one_link(context: Any, duration: int) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        leader = await cluster.until_leader()
        cluster.noted["first"] = leader
        follower = next(name for name in cluster.names if name != leader)
        detangle.network().disconnect(cluster.host(leader), cluster.host(follower))
        await asyncio.sleep(duration)


@when("both agreement followers restart while the leader is cut off")
def _restart_while_cut(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        leader = await cluster.until_leader()
        cluster.cut_off(leader)
        for name in [name for name in cluster.names if name != leader]:
            cluster.crash(name)
            cluster.restart(name)


@when("the agreement's platform fails as soon as the group is formed")
def _platform_fails_early(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        await cluster.until_leader()
        cluster.table.is_down = True


@when("the controller in the agreement's row restarts where only it reaches the platform")
def _row_voter_restarts(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        name = cluster.row().configuration.voters[0].name
        cluster.table.reached_only_by = name
        cluster.crash(name)
        cluster.cut_off(name)
        cluster.restart(name)


@when("the agreement network heals")
def _heal(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        detangle.network().heal()


@when("the platform of the agreement is down")
def _platform_down(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        cluster.table.is_down = True
        cluster.noted["row"] = cluster.row()


@when("the platform of the agreement is up again")
def _platform_up(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        cluster.table.is_down = False
        cluster.table.loses_answers = False


@when("the table service loses the answer of the next agreement write")
def _loses_answers(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        cluster.table.loses_answers = True


@when("an agreement answer was lost")
def _answer_lost(context: Any) -> None:
    script(context)(lambda c: c.until(lambda: c.table.answers_lost > 0, "a lost answer"))


@when("{duration:d} s pass in the agreement")
def _time_passes(context: Any, duration: int) -> None:
    script(context)(lambda cluster: asyncio.sleep(duration))


@when("the agreement leader is stopped as planned")
def _planned_stop(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        name = await cluster.until_leader()
        node = cluster.nodes[name]
        cluster.noted["stopped"] = node.status.member
        cluster.noted["term"] = node.status.term
        started_at = asyncio.get_running_loop().time()
        await node.stop()
        cluster.noted["stop_s"] = asyncio.get_running_loop().time() - started_at
        del cluster.nodes[name], cluster.states[name]
