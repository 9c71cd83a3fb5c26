"""Steps that start a control group and act on it, as parts of a script."""

import asyncio
from typing import Any

import detangle
from behave import given, then, when
from control_log_cluster import Cluster
from control_log_script import script

from indigoworks.wire.control_pb2 import Command, ReplaceSettings

HELD_UP_PAUSE_S = 0.33
"""Pause between two cuts: longer than the hold of an answer, and no multiple of it."""


@given("a control log of {size:d} controllers")
def _group(context: Any, size: int) -> None:
    context.size, context.script = size, []


@given("a checkpoint of an earlier release in generation {generation:d} that holds {texts}")
def _earlier(context: Any, generation: int, texts: str) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        cluster.put_earlier_checkpoint(generation, texts.strip('"').split(","))


@when("all controllers of the control log are in touch with the leader")
@then("all controllers of the control log are in touch with the leader")
def _in_touch(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        running = [name for name in cluster.names if name not in cluster.crashed]
        await cluster.until(lambda: cluster.members() == set(running), "all in touch")


@when('the control log commits "{text}"')
@then('the control log commits "{text}"')
def _commit(context: Any, text: str) -> None:
    script(context)(lambda cluster: cluster.commit(text))


@when("the control log commits {count:d} commands")
def _commit_many(context: Any, count: int) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        for number in range(count):
            await cluster.commit(f"n{number}")


@when("the leader of the control log crashes")
def _leader_crashes(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        cluster.noted["first"] = await cluster.until_leader()
        cluster.crash(str(cluster.noted["first"]))


@when("the leader of the control log crashes and starts again at once")
def _leader_restarts(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        name = await cluster.until_leader()
        cluster.noted["first"], cluster.noted["epoch"] = name, cluster.row().epoch
        cluster.crash(name)
        cluster.restart(name)


@when("the crashed controllers of the control log start again")
def _restart(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        for name in list(cluster.crashed):
            cluster.restart(name)


@when("all controllers of the control log crash at once")
def _all_crash(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        for name in list(cluster.nodes):
            cluster.crash(name)


@when("a controller joins the control log")
def _joins(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        cluster.names.append(f"c{len(cluster.names) + 1}")
        cluster.start(cluster.names[-1])


@when("the leader of the control log is cut off from the store and from the others")
def _cut_off(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        name = await cluster.until_leader()
        cluster.noted["first"] = name
        cluster.cut_off(name)
        cluster.table.out_of_reach.add(name)
        _propose(cluster, name, "cut")


@when("the leader of the control log is cut off from one follower")
def _one_link(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        leader = await cluster.until_leader()
        cluster.noted["first"], cluster.noted["epoch"] = leader, cluster.row().epoch
        follower = next(name for name in cluster.names if name != leader)
        detangle.network().disconnect(cluster.host(leader), cluster.host(follower))


@when("answers to a follower of the control log are held up {count:d} times over commands")
def _answers_held_up(context: Any, count: int) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        leader = await cluster.until_leader()
        follower = next(name for name in cluster.names if name != leader)
        for number in range(count):
            detangle.network().disconnect(cluster.host(leader), cluster.host(follower))
            await cluster.commit(f"n{number}")
            await cluster.commit(f"m{number}")
            detangle.network().heal()
            await asyncio.sleep(HELD_UP_PAUSE_S)


@when("the network of the control log heals")
def _network_heals(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        detangle.network().heal()


@when("every cut of the control log heals")
def _heal(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        detangle.network().heal()
        cluster.table.out_of_reach.clear()


@when("the leader of the control log wakes up after a pause of {duration:g} s")
def _pause(context: Any, duration: float) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        name = await cluster.until_leader()
        cluster.clocks[name].jump(duration)
        cluster.noted["held"] = cluster.nodes[name].holds_lease()
        refused = await cluster.nodes[name].propose(_command("paused"))
        cluster.noted["refused"] = refused.is_err() and refused.unwrap_err().kind


@when("the store of the control log is down")
def _down(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        cluster.table.is_down = True


@when("a command is proposed to the leader of the control log")
def _proposed(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        _propose(cluster, await cluster.until_leader(), "cut")


@when("the store of the control log is up again")
def _up(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        cluster.table.is_down = False


@when("the store loses the next {count:d} answers to writes of the control log")
def _loses_answers(context: Any, count: int) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        cluster.table.answers_to_lose = count


@when("the store holds back what the leader of the control log writes")
def _holds(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        name = await cluster.until_leader()
        cluster.noted["first"] = cluster.table.holds_writes_of = name
        _propose(cluster, name, "late")
        await cluster.until(lambda: len(cluster.table.held) > 0, "a held write")


@when("the leader of the control log hears no more of the store once its next write is done")
def _deaf(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        name = await cluster.until_leader()
        cluster.table.holds_writes_of = name
        _propose(cluster, name, "unheard")
        await cluster.until(lambda: len(cluster.table.held) > 0, "a held write")
        cluster.table.out_of_reach.add(name)
        cluster.table.holds_writes_of = ""
        assert cluster.table.carry_out(cluster.table.held[0])


@when("the store takes writes of the control log again")
def _takes_writes(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        cluster.table.holds_writes_of = ""


@then("the writes held back arrive and are refused")
def _late(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        cluster.table.holds_writes_of = ""
        assert cluster.table.held
        assert not any([cluster.table.carry_out(writes) for writes in cluster.table.held])


@when("{duration:d} s pass in the control log")
def _time_passes(context: Any, duration: int) -> None:
    script(context)(lambda cluster: asyncio.sleep(duration))


@when("the leader of the control log is stopped as planned")
def _planned_stop(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        name = await cluster.until_leader()
        cluster.noted["first"], cluster.noted["epoch"] = name, cluster.row().epoch
        node = cluster.nodes[name]
        await node.stop()
        del cluster.nodes[name], cluster.states[name]
        cluster.crashed.append(name)
        cluster.noted["stopped_at_s"] = asyncio.get_running_loop().time()


def _command(text: str) -> Command:
    return Command(replace_settings=ReplaceSettings(change_id=text))


def _propose(cluster: Cluster, name: str, text: str) -> None:
    proposal = cluster.nodes[name].propose(_command(text))
    cluster.noted["proposal"] = asyncio.create_task(proposal)
