"""Steps that break on purpose what is told, heard and read of the ends of holds."""

import asyncio
from contextlib import suppress
from dataclasses import replace
from types import SimpleNamespace

from behave import then
from gateway_control_world import HOLD_MAX_S, SERVICE
from gateway_owner_proof_world import ProofWorld
from gateway_ownership_world import make_bounds
from gateway_world import HOST, make_record
from hypothesis import given as for_all
from hypothesis import strategies
from store_versions import at

from indigoworks_lab.simulation.core.manual_clock import ManualClock, settle

# isort: split
from header_names import HEADER_NAMES
from http_server_orders import HttpServerOrders

from indigoworks.common.address import Address
from indigoworks.exchange.leader_beat import LeaderBeat
from indigoworks.exchange.peer_report import PeerReport
from indigoworks.exchange.report_codec import decode_report, encode_report
from indigoworks.ownership.hold_policy import HOLD_S
from indigoworks.ownership.key_grant import KeyGrant
from indigoworks.ownership.leader_lease import LEADER_LEASE_S
from indigoworks.ownership.leader_row import LeaderRow
from indigoworks.ownership.order_outcome import OrderResult
from indigoworks.ownership.owned_range import OwnedRange
from indigoworks.ownership.ownership_table import KEY_COUNT
from indigoworks.ownership.predecessor_bound import PredecessorBound
from indigoworks.rowstore.store_health import StoreHealth
from indigoworks.servers.server_list import ServerList

SHORT_S = 0.2

LATE_S = 5.0
"""A server takes an order so late: the users' pages say "seconds later"."""

LATEST_S = 12.0
"""The longest that the users' bench lets an order wait."""


@then("gateway owner proofs: an answer read late is true as of when it was made, after a jump too")
def step_late_answer(context):
    clock = ManualClock()
    health = StoreHealth(clock)
    health.record_response(clock.now(), 0.0)
    clock._now_s += 1.0
    health.record_response(clock.now(), 11.0)
    sent_s, made_s = clock.now(), clock.now() + 0.1
    clock._now_s += LATE_S
    late_s = health.record_response(sent_s, 11.1) - made_s
    assert late_s <= 1e-6, late_s


def bound_of(world):
    """Return the bound of the leader of epoch 4, "n2"."""
    row = LeaderRow(4, "n2", "boot-9", at(7))
    return PredecessorBound(row, world.leadership.liveness)


@then("gateway owner proofs: what a leader waits for is in the bound of who follows it")
def step_chain(context):
    clock, bounds, _ = make_bounds()
    bounds.start_epoch(clock.now() + 20.0)
    world = ProofWorld("a")
    told = {"hold_s": bounds.longest_left_s(), "earlier_hold_s": bounds.earlier_left_s()}
    world.hear(1, "boot-9", 4, **told)
    world.hear(2, "boot-9", 5)
    left_s = bound_of(world).until_s(world.clock.now(), HOLD_MAX_S) - world.clock.now()
    assert left_s >= 20.0, left_s


@then("gateway owner proofs: an order sent right before the last beat is in the next bound")
def step_under_way(context):
    _, bounds, owned = make_bounds()
    bounds.record_sent(owned, HOLD_S, 0.8)
    world = ProofWorld("a")
    world.hear(1, "boot-9", 4, hold_s=bounds.longest_left_s())
    world.clock._now_s += 0.05
    world.hear(2, "boot-9", 5)
    assert bound_of(world).has_stopped_acting()
    left_s = bound_of(world).until_s(world.clock.now(), HOLD_MAX_S) - world.clock.now()
    assert left_s >= LATE_S + HOLD_S, left_s


@then("gateway owner proofs: of an unheard leader a long hold taken late is in the next bound")
def step_unheard(context):
    world = ProofWorld("a")
    left_s = bound_of(world).until_s(world.clock.now(), HOLD_MAX_S) - world.clock.now()
    assert left_s >= LEADER_LEASE_S + LATEST_S + HOLD_MAX_S, left_s


@then("gateway owner proofs: a leader that told of longer holds than ours may grant more of them")
def step_longer_holds(context):
    world = ProofWorld("a")
    longer_s = HOLD_MAX_S + 2.0
    world.hear(1, "boot-9", 4, hold_s=longer_s, proof_age_s=2.0)
    world.clock._now_s += 1.5
    world.hear(2, "boot-9", 5)
    left_s = bound_of(world).until_s(world.clock.now(), HOLD_MAX_S) - world.clock.now()
    assert left_s >= longer_s, left_s


@then("gateway owner proofs: an answer to another question does not show that rows were followed")
def step_not_followed(context):
    world = ProofWorld("a")
    world.name_leader(4, "n2", "boot-9")
    world.clock._now_s += 60.0
    world.health.record_response(world.clock.now(), world.clock.now())
    world.health.eras.record_era(1)
    assert not world.leadership.knows_former_era(0)


@then("gateway owner proofs: for all beats holds and ages come out no shorter than they went in")
def step_rounding(context):
    @for_all(strategies.floats(0.0, 100.0), strategies.floats(0.0, 100.0))
    def check(hold_s, age_s):
        sent = LeaderBeat(4, age_s, hold_s, ())
        report = PeerReport("n2", "boot-9", 1, 4, 0.0, sent, (), (), 0)
        read = decode_report(encode_report(report)).leader
        assert read.hold_s >= hold_s and read.proof_age_s >= age_s, (read, sent)

    check()


@then("gateway owner proofs: a report of an earlier boot ends no later one")
def step_earlier_boot(context):
    world = ProofWorld("a")
    world.hear(9, "boot-8", 3)
    world.hear(1, "boot-9", 4, hold_s=HOLD_S)
    world.hear(10, "boot-8", 3, age_s=0.9)
    assert not bound_of(world).has_stopped_acting()


@then("gateway owner proofs: a node is heard on after a late report of a life that was never heard")
def step_unheard_boot(context):
    world = ProofWorld("a")
    world.hear(1, "boot-9", 4, hold_s=HOLD_S)
    world.hear(10, "boot-8", 3, age_s=0.9)
    world.clock._now_s += 1.0
    world.hear(2, "boot-9", 4, hold_s=HOLD_S)
    assert world.leadership.liveness.beat_age_s(4) == 0.0, world.leadership.liveness.beat_age_s(4)
    assert not bound_of(world).has_stopped_acting()


@then("gateway owner proofs: an answer that was under way arms no leader that resigns")
def step_resign(context):
    async def run():
        world = ProofWorld("a")
        world.store.gate.clear()
        resigning = asyncio.ensure_future(world.leadership.resign())
        await settle()
        assert not world.leadership.may_act()
        world.read()
        resigning.cancel()
        assert not world.leadership.may_act(), "an answer that was under way armed it"

    context.run_async(run())


@then("gateway owner proofs: nothing is sent over a connection that came after the leadership")
def step_late_connection(context):
    async def run():
        world = ProofWorld("a")
        world.orders = HttpServerOrders(HEADER_NAMES, world.clock)
        gate, sent = asyncio.Event(), []

        async def exchange_any(*order):
            sent.append(order)

        connection = SimpleNamespace(
            connect=lambda timeout_s: gate.wait(), exchange_any=exchange_any, abort=lambda: None
        )
        world.orders._new_connection = lambda server: connection
        keeper = world.make_keeper(SERVICE, OwnedRange(0, KEY_COUNT - 1, "a", 4))
        keeper.start(True)
        await settle()
        world.name_leader(4, "n2", "boot-9")
        gate.set()
        await settle()
        keeper.stop()
        assert not sent, sent

    context.run_async(run())


@then("gateway owner proofs: a surplus answer on a kept connection is no answer to the next order")
def step_surplus(context):
    async def serve(reader, writer):
        """Answer the first order twice, each with its id, and the second never."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        ids = [each for each in head.split("\r\n") if each.startswith(HEADER_NAMES.request_id)]
        answer = "\r\n".join(["HTTP/1.1 200 OK", "Content-Length: 0", *ids, "", ""]).encode()
        with suppress(ConnectionError, asyncio.CancelledError):
            writer.write(answer)
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            await reader.read()
        writer.close()

    async def run():
        server = await asyncio.start_server(serve, HOST, 0)
        address = Address(HOST, server.sockets[0].getsockname()[1])
        orders, record = HttpServerOrders(HEADER_NAMES, ManualClock()), make_record("a", address)
        for first, result in ((0, OrderResult.DONE), (10, OrderResult.UNANSWERED)):
            outcome = await orders.grant(
                record, KeyGrant(first, first + 9, 4, HOLD_S), SHORT_S, lambda: True
            )
            assert outcome.result is result, outcome
        server.close()

    context.run_async(run())


@then("the platform folder's order does not tell that its server has ended")
def step_no_end(context):
    assert not context.platform_outcome.is_from_other(context.platform_record.server_id)


def is_new_gone(new, ended):
    """Tell whether a living server counts as gone; both entries: version, Unix ms of the start."""
    clock = ManualClock()
    servers, address = ServerList(StoreHealth(clock), 1.0, clock), Address(HOST, 1)
    for name, (version, started_ms) in sorted({"new": new, "ended": ended}.items()):
        servers.put(make_record(name, address, version, started_ms=started_ms, sequence=1))
    return servers.is_gone("new")


@then("gateway owner proofs: an entry of an ended server in a later era does not end the next one")
def step_entry_of_copy(context):
    clock = ManualClock()
    servers = ServerList(StoreHealth(clock), 1.0, clock)
    address = Address(HOST, 1)
    servers.put(replace(make_record("new", address, 95), version=at(95)))
    servers.put(replace(make_record("ended", address, 55), version=at(55, 1)))
    assert not servers.is_gone("new"), "the living server counts as ended"


@then("gateway owner proofs: an ended server's late entry does not end the one at its address")
def step_late_entry(context):
    assert not is_new_gone(new=(10, 2000), ended=(12, 1000))


@then("gateway owner proofs: a start by a clock that is ahead does not end the one at its address")
def step_start_ahead(context):
    assert not is_new_gone(new=(12, 2000), ended=(10, 4000))
