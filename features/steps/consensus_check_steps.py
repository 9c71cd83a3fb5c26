"""Steps that check an agreement group, and the last step of a scenario, which runs its script."""

import asyncio
from typing import Any

from behave import then
from consensus_broken_rules import broken_rule
from consensus_cluster import Cluster, SafetyViolated, run_script
from consensus_script import script

from indigoworks.consensus.role import Role
from indigoworks.wire.control_pb2 import AppendRequest, Frame, SnapshotRequest, VoteRequest


@then("the stopped controller is no member of the agreement and had a successor in {limit:g} s")
def _left(context: Any, limit: float) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        leader = await cluster.until_leader()
        status = cluster.nodes[leader].status
        stopped = cluster.noted["stopped"]
        members = [*status.configuration.voters, *status.configuration.learners]
        assert stopped not in members
        # One term further: the successor was elected at once, not after a silence.
        assert status.term == cluster.noted["term"] + 1, status.term
        assert cluster.noted["stop_s"] < limit, cluster.noted["stop_s"]


@then('every running controller of the agreement has applied "{texts}"')
def _applied(context: Any, texts: str) -> None:
    expected = texts.split(",")

    @script(context)
    async def step(cluster: Cluster) -> None:
        def all_applied() -> bool:
            return all(state.texts() == expected for state in cluster.states.values())

        await cluster.until(all_applied, f"{expected} everywhere")


@then("the controller that joined the agreement took a snapshot and has applied {count:d} commands")
def _joined(context: Any, count: int) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        name = str(cluster.noted["joined"])
        await cluster.until(
            lambda: name in cluster.states and len(cluster.states[name].texts()) == count,
            "all commands",
        )
        leader = await cluster.until_leader()
        first_kept = cluster.nodes[leader]._replica.log.base_index
        assert first_kept > count / 2, first_kept


@then("another agreement leader is found while the first has lost its lease")
def _another_leader(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        # The watch fails the run should both hold the lease at any look.
        await cluster.until_leader(other_than=str(cluster.noted["cut"]))
        assert not cluster.nodes[str(cluster.noted["cut"])].holds_quorum_lease()


@then("the command at the cut-off agreement leader has an unknown outcome")
def _unknown(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        outcome = await cluster.noted["proposal"]
        assert outcome.unwrap_err().kind == "outcome_unknown", outcome


@then("the first agreement leader still leads")
def _still_leads(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        assert cluster.leader() == cluster.noted["first"]


@then("the restarted controller first learns, and then votes, in the agreement")
def _learns_first(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        name = str(cluster.noted["restarted"])
        await cluster.until(lambda: name in cluster.nodes, "a new run")
        node = cluster.nodes[name]
        assert node.status.role is Role.LEARNER
        await cluster.until(lambda: node.status.role is Role.FOLLOWER, "a vote again")
        assert cluster.voters() != cluster.noted["voters"]


@then("the agreement stays without a leader for {duration:d} s")
def _no_leader(context: Any, duration: int) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + duration
        while loop.time() < end:
            assert cluster.leader() is None, "a minority formed a generation"
            await asyncio.sleep(0.1)


@then("the agreement has reached generation {generation:d}")
def _generation(context: Any, generation: int) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        await cluster.until(
            lambda: (
                cluster.leader() is not None
                and all(n.status.generation == generation for n in cluster.nodes.values())
            ),
            f"generation {generation}",
        )


@then("an agreement controller has withdrawn, and refuses votes and entries")
def _withdrawn(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        withdrawn = [node for node in cluster.nodes.values() if node._replica.has_withdrawn]
        assert withdrawn, "no controller has withdrawn"
        for node in withdrawn:
            own, newer = node.status.member, node.status.term + 9
            generation = node.status.generation
            requests = [
                Frame(
                    vote_request=VoteRequest(
                        generation=generation,
                        term=newer,
                        last_log_term=newer,
                        is_pre_vote=is_pre_vote,
                        voter_incarnation=own.incarnation,
                    )
                )
                for is_pre_vote in (True, False)
            ]
            append = AppendRequest(
                generation=generation, term=newer, follower_incarnation=own.incarnation
            )
            snapshot = SnapshotRequest(
                generation=generation, term=newer, follower_incarnation=own.incarnation
            )
            requests += [Frame(append_request=append), Frame(snapshot_request=snapshot)]
            for request in requests:
                reply = await node.handle(request)
                assert reply.error.kind == "withdrawn", reply
            assert node.status.term < newer


@then("the agreement's row is of generation {generation:d} and its only voter is gone")
def _row_of_gone_voter(context: Any, generation: int) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        row = cluster.row()
        names = [voter.name for voter in row.configuration.voters]
        assert row.generation == generation and not row.HasField("next_configuration"), row
        assert names == cluster.crashed, (names, cluster.crashed)


@then("the row of the agreement is as it was")
def _row_unchanged(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        assert cluster.row() == cluster.noted["row"]


@then("every zone of the agreement has at most {count:d} voters")
def _zones(context: Any, count: int) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        def is_spread() -> bool:
            leader = cluster.leader()
            if leader is None:
                return False
            voters = cluster.nodes[leader].status.configuration.voters
            zones = [voter.zone for voter in voters]
            return len(zones) == 5 and all(zones.count(zone) <= count for zone in zones)

        await cluster.until(is_spread, "voters spread over the zones")


@then("this run of the agreement holds for seeds {first:d} to {last:d}")
def _run(context: Any, first: int, last: int) -> None:
    for seed in range(first, last + 1):
        run_script(context.size, context.zones, seed, context.script)


@then('the watch of the agreement notices that "{rule}" within seeds {first:d} to {last:d}')
def _noticed(context: Any, rule: str, first: int, last: int) -> None:
    noticed = 0
    with broken_rule(rule):
        for seed in range(first, last + 1):
            try:
                run_script(context.size, context.zones, seed, context.script)
            except SafetyViolated:
                noticed += 1
    assert noticed, f"never noticed: {rule}"
