"""Steps on a leader that tells its peers how long it has had no word of the store."""

import asyncio

from behave import given, then, when
from gateway_control_world import HOLD_MAX_S, ControlWorld

from indigoworks.exchange.leader_beat import LeaderBeat
from indigoworks.exchange.peer_report import PeerReport
from indigoworks.ownership.leader_row import LEADER_KEY, LeaderRow
from indigoworks.rowstore.store_version import NO_VERSION
from indigoworks.rowstore.table_part import UNDIVIDED
from indigoworks_lab.simulation.core.manual_clock import ManualClock

EPOCH = 3
CHALLENGE_S = 1.0
"""Longer than the first challenger waits before it writes."""


def hear(world, sequence, proof_age_s):
    beat = LeaderBeat(EPOCH, proof_age_s, HOLD_MAX_S, ())
    report = PeerReport("n2", "boot-9", sequence, EPOCH, 0.0, beat, (), (), 0)
    assert world.peers.record_report(report)
    world.leadership.liveness.record_report(report)


@given("a gateway leader that is heard, whose last proof of leadership is {age_s:g} s old")
def step_leader(context, age_s):
    async def build():
        world = ControlWorld(0, ManualClock())
        world.store.put(LEADER_KEY, LeaderRow(EPOCH, "n2", "boot-9", NO_VERSION).encode())
        answer = (await world.store.read("", UNDIVIDED)).unwrap()
        world.take_rows(answer.rows)
        world.leadership.record_proof(answer.as_of_s)
        hear(world, 1, age_s)
        return world

    context.sick_age_s = age_s
    context.sick_world = context.run_async(build())


@when("the store answers no gateway for {time_s:g} s")
def step_store_out(context, time_s):
    world = context.sick_world
    context.run_async(world.clock.advance(time_s))
    hear(world, 2, context.sick_age_s + time_s)


async def challenge(world):
    """Let the gateway look once, and wait out the pause before its challenge."""
    looking = asyncio.ensure_future(world.leadership.challenge_if_lost())
    await world.clock.advance(CHALLENGE_S)
    await looking
    return world.leadership.is_named()


@then("a gateway that reaches the store takes the leadership over")
def step_taken(context):
    assert context.run_async(challenge(context.sick_world))
    assert context.sick_world.leadership.row.epoch == EPOCH + 1


@then("a gateway that reaches the store leaves it in office")
@then("a gateway that does not reach the store leaves it in office")
def step_left(context):
    assert not context.run_async(challenge(context.sick_world))
    assert context.sick_world.store.writes == 0
