"""Steps that check a control group, and the last step of a scenario, which runs its script."""

import asyncio
from typing import Any

from behave import then
from control_log_broken_rules import broken_rule
from control_log_cluster import Cluster, SafetyViolated, run_script
from control_log_script import script

from indigoworks.controllog.log_timing import LogTiming

HANDED_OVER_WITHIN_S = 1.0
"""Far below the lease, which a successor would wait for else."""


@then('every running controller of the control log has applied "{texts}"')
def _applied(context: Any, texts: str) -> None:
    expected = texts.split(",")

    @script(context)
    async def step(cluster: Cluster) -> None:
        def all_applied() -> bool:
            return all(state.texts() == expected for state in cluster.states.values())

        await cluster.until(all_applied, f"{expected} everywhere")


@then("every running controller of the control log has applied {count:d} commands")
def _applied_count(context: Any, count: int) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        def all_applied() -> bool:
            return all(len(state.texts()) == count for state in cluster.states.values())

        await cluster.until(all_applied, f"{count} commands everywhere")


@then("another leads the control log, and the first has lost its lease before")
def _another_leader(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        # The watch fails the run should both hold the lease at any look.
        first = str(cluster.noted["first"])
        await cluster.until_leader(other_than=first)
        assert first not in cluster.nodes or not cluster.nodes[first].holds_lease()


@then("the outcome of the command proposed to the first leader is unknown")
def _unknown(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        outcome = await cluster.noted["proposal"]
        assert outcome.is_err() and outcome.unwrap_err().kind == "outcome_unknown", outcome


@then("the first leader has acknowledged nothing")
def _not_acknowledged(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        proposal = cluster.noted["proposal"]
        is_acknowledged = proposal.done() and not proposal.cancelled() and proposal.result().is_ok()
        assert not is_acknowledged, proposal


@then("the command proposed to the first leader was committed")
def _known(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        assert (await cluster.noted["proposal"]).is_ok()


@then("the control log has had one leader in one epoch since")
def _still_leads(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        assert cluster.leader() == cluster.noted["first"]
        assert cluster.row().epoch == cluster.noted["epoch"]


@then("the paused leader held no lease when it woke up, and refused a command")
def _paused(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        assert cluster.noted["held"] is False
        assert cluster.noted["refused"] == "not_leader", cluster.noted["refused"]


@then("the leader of the control log goes on for {duration:g} s, and after the lease nobody leads")
def _holds_on(context: Any, duration: float) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        loop = asyncio.get_running_loop()
        begin_s, first = loop.time(), cluster.leader()
        while loop.time() < begin_s + duration:
            assert first is not None and cluster.leader() == first
            await asyncio.sleep(0.1)
        await asyncio.sleep(LogTiming().lease_s)
        for _ in range(100):
            assert cluster.leader() is None, "a leader without the store"
            await asyncio.sleep(0.1)


@then("the stopped controller has left the control log, and a successor led it at once")
def _left(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        first = str(cluster.noted["first"])
        await cluster.until_leader(other_than=first)
        since_s = asyncio.get_running_loop().time() - cluster.noted["stopped_at_s"]
        assert since_s < HANDED_OVER_WITHIN_S, since_s
        assert cluster.row().epoch == cluster.noted["epoch"] + 1
        assert first not in cluster.members()


@then("the controller that started again leads the control log without waiting for the lease")
def _same_address(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        begin_s = asyncio.get_running_loop().time()
        assert await cluster.until_leader() == cluster.noted["first"]
        assert asyncio.get_running_loop().time() - begin_s < HANDED_OVER_WITHIN_S
        assert cluster.row().epoch == cluster.noted["epoch"] + 1


@then("a follower of the control log is ahead of its leader")
def _ahead(context: Any) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        leader = cluster.leader()
        assert leader is not None
        index = cluster.nodes[leader].status.commit_index
        assert any(node.status.commit_index > index for node in cluster.nodes.values())


@then("the control log takes at most {count:d} rows")
def _bounded(context: Any, count: int) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        rows = cluster.table.rows
        assert len(rows) <= count, sorted(rows)
        assert cluster.row().checkpoint_batch > 0


@then("all controllers of the control log are in generation {generation:d}")
def _generation(context: Any, generation: int) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        found = {node.status.generation for node in cluster.nodes.values()}
        assert found == {generation}, found


@then("a follower in touch asks the store for nothing in {duration:d} s")
def _calls(context: Any, duration: int) -> None:
    @script(context)
    async def step(cluster: Cluster) -> None:
        before = cluster.table.calls
        await asyncio.sleep(duration)
        renewals = duration / LogTiming().renewal_s
        assert 0 < cluster.table.calls - before <= renewals + 1, cluster.table.calls - before


@then("this run of the control log holds for seeds {first:d} to {last:d}")
def _run(context: Any, first: int, last: int) -> None:
    for seed in range(first, last + 1):
        run_script(context.size, seed, context.script)


@then('this run of the control log fails where "{rule}" for one of seeds {first:d} to {last:d}')
def _fails(context: Any, rule: str, first: int, last: int) -> None:
    assert _failures(context, rule, range(first, last + 1)), f"never noticed: {rule}"


@then('the watch of the control log notices that "{rule}" within seeds {first:d} to {last:d}')
def _noticed(context: Any, rule: str, first: int, last: int) -> None:
    failures = _failures(context, rule, range(first, last + 1))
    assert any(isinstance(each, SafetyViolated) for each in failures), (rule, failures)


def _failures(context: Any, rule: str, seeds: range) -> list[AssertionError]:
    found = []
    with broken_rule(rule):
        for seed in seeds:
            try:
                run_script(context.size, seed, context.script)
            except AssertionError as error:
                found.append(error)
    return found
