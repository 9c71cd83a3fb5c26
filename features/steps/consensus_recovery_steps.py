"""Steps that lose controllers at the moments that matter to the next generation."""

from typing import Any

import detangle
from behave import when
from consensus_cluster import Cluster
from consensus_script import script


@when("the agreement leader crashes once it has announced a third voter")
def _announcing_leader_crashes(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        await cluster.until_leader()
        # The row names the change a moment before the leader appends it.
        await cluster.until(
            lambda: len(cluster.row().next_configuration.voters) == 3, "a change", interval_s=0.001
        )
        leader = cluster.leader()
        assert leader is not None and len(cluster.row().configuration.voters) == 2
        voters = cluster.row().next_configuration.voters
        cluster.noted["left"] = [voter.name for voter in voters if voter.name != leader]
        cluster.crash(leader)
        held = [len(node.status.configuration.voters) for node in cluster.nodes.values()]
        assert held == [2, 2], f"the change was replicated: {held}"


@when("the link between the announced voters of the agreement that are left is cut")
def _announced_voters_apart(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        one, other = (cluster.host(name) for name in cluster.noted["left"])
        detangle.network().disconnect(one, other)


@when("the agreement leader crashes and the machine list drops it")
def _leader_dropped(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        name = await cluster.until_leader()
        cluster.crash(name)
        del cluster.machines.records[name]


@when("the machine list of the agreement cannot be read")
def _list_down(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        cluster.machines.is_down = True


@when("the machine list of the agreement can be read again")
def _list_up(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        cluster.machines.is_down = False
