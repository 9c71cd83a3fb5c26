"""Steps for the rules of the controller."""

import asyncio
from random import Random

from behave import given, then, when
from hypothesis import example, strategies
from hypothesis import given as for_all
from hypothesis import settings as hypothesis_settings

from indigoworks.common.lease_bounds import MAX_CLOCK_DRIFT
from indigoworks.common.ring.key_hash import KEY_SPACE_MAX
from indigoworks.controller.control_state import ReplicatedControlState
from indigoworks.controller.lease_timing import BACKEND_LEASE_S
from indigoworks.controller.ownership_context import OwnershipContext
from indigoworks.controller.ownership_rules import reassign_ranges_of_lost_servers
from indigoworks.controller.placement.key_space_split import split_key_space, split_out_position
from indigoworks.controller.placement.move_budget import MoveBudget
from indigoworks.controller.placement.rebalance import next_move
from indigoworks.controller.placement.server_weights import ServerWeights
from indigoworks.controller.server_lease import ServerLease
from indigoworks.controller.view_history import MAX_KEPT_CHANGES
from indigoworks.settings import SettingsTree
from indigoworks.wire.control_pb2 import (
    SERVER_STATE_LIVE,
    SERVER_STATE_LOST,
    ChangeRanges,
    Command,
    RangeRecord,
    ReplaceSettings,
    Server,
)

PROPERTY = hypothesis_settings(deadline=None, max_examples=200, derandomize=True, database=None)


class FixedClock:
    """A clock that stands still."""

    def now(self):
        return 0.0

    async def sleep(self, duration_s):
        await asyncio.sleep(0)


class FakeLeases:
    """Leases of which some are lost and all others are kept."""

    def __init__(self, lost):
        self.lost = lost

    def lost_servers(self):
        return self.lost

    def is_responding(self, server):
        return server not in self.lost


class FakeLeadership:
    """A leadership of generation 1."""

    generation = 1


def whole_space(owner, generation=1):
    return RangeRecord(
        service="catalogue",
        start=0,
        end=KEY_SPACE_MAX,
        owner=owner,
        owner_incarnation=f"{owner}-1",
        generation=generation,
    )


def change(expected, replacement):
    return Command(change_ranges=ChangeRanges(expected=expected, replacement=replacement))


@then("controller: for all delays and drifts in bounds the server's lease ends first")
def lease_ends_first(context):
    rates = strategies.floats(1 - MAX_CLOCK_DRIFT, 1 + MAX_CLOCK_DRIFT)
    delays = strategies.floats(0, 5)

    @PROPERTY
    @for_all(rates, rates, delays, delays)
    @example(1 - MAX_CLOCK_DRIFT, 1 + MAX_CLOCK_DRIFT, 0.0, 0.0)
    def check(server_rate, leader_rate, answer_delay_s, renewal_delay_s):
        # True time 0 is when the server read its clock; both clocks read 0 then.
        lease = ServerLease(0.0)
        lease.record_reading(0.0, answer_delay_s * leader_rate)
        server_end_s = lease.extend() / server_rate
        leader_end_s = lease.lapse_at_s / leader_rate
        # The delay of the renewal itself must not matter at all.
        assert server_end_s <= leader_end_s, (server_end_s, leader_end_s, renewal_delay_s)

    check()


@given("controller: a lease with a reading of {reading:f} s received at {received:f} s")
def lease_with_reading(context, reading, received):
    context.lease = ServerLease(0.0)
    context.lease.record_reading(reading, received)


@when("controller: the lease is extended")
def extend_lease(context):
    context.end_s = context.lease.extend()


@then("controller: the end sent is {end:f} s on the server's clock")
def end_is(context, end):
    assert context.end_s == end == 100.0 + BACKEND_LEASE_S


@then("controller: the lease has not lapsed at {before:f} s and has lapsed at {after:f} s")
def lapse_is(context, before, after):
    assert not context.lease.has_lapsed(before)
    assert context.lease.has_lapsed(after)


@given('controller: a state in which server "a" owns the key space')
def state_with_owner(context):
    context.state = ReplicatedControlState(FixedClock())
    context.state.apply(5, change([], [whole_space("a")]))


@when('controller: two changes are applied that both expect owner "a"')
def apply_two(context):
    before = context.state.ranges()
    context.state.apply(6, change(before, [whole_space("b")]))
    context.state.apply(7, change(before, [whole_space("c")]))


@then("controller: the first change stands and the second is void")
def first_stands(context):
    assert [record.owner for record in context.state.ranges()] == ["b"]
    assert [record.token for record in context.state.ranges()] == [1 << 40 | 6]
    assert context.state.version == 6


@when("controller: the key space is granted anew in generations 1, 1 and 2")
def grant_anew(context):
    context.tokens = [context.state.ranges()[0].token]
    for index, generation in ((9, 1), (10, 1), (6, 2)):
        renewed = [whole_space("a", generation)]
        context.state.apply(index, change(context.state.ranges(), renewed))
        context.tokens.append(context.state.ranges()[0].token)


@then("controller: each token is larger than the one before")
def tokens_grow(context):
    assert context.tokens == sorted(set(context.tokens)), context.tokens


@when("controller: settings versions 1, 3 and 2 are applied")
def apply_versions(context):
    for index, version in ((6, 1), (7, 3), (8, 2)):
        settings = ReplaceSettings(version=version, change_id=f"change-{version}", generation=1)
        context.state.apply(index, Command(replace_settings=settings))


@then("controller: version {version:d} is in force")
def version_in_force(context, version):
    assert context.state.settings.version == version, context.state.settings.version


@then("controller: a state restored from its snapshot has the same content")
def restored_equals(context):
    context.state.apply(9, Command(register_server={"server": Server(name="a", slots=2)}))
    restored = ReplicatedControlState(FixedClock())
    restored.restore(context.state.snapshot())
    assert restored.snapshot() == context.state.snapshot()
    assert restored.applied_index == 9


@then("controller: the delta from the first version carries settings version 3 and no more")
def delta_content(context):
    delta = context.state.history.delta(5, context.state.version, ())
    assert delta.settings.version == 3
    assert not delta.changes and not delta.servers


@then("controller: a follower behind the kept history gets no delta")
def no_delta(context):
    for index in range(10, 12 + MAX_KEPT_CHANGES):
        context.state.apply(index, Command(register_server={"server": Server(name="a")}))
    assert context.state.history.delta(5, context.state.version, ()) is None


@then("controller: for all places a cut covers the range, with one part for the place alone")
def cut_covers(context):
    @PROPERTY
    @for_all(strategies.integers(0, KEY_SPACE_MAX), strategies.integers(1, 64))
    def check(place, count):
        ranges = split_key_space("catalogue", count)
        record = next(each for each in ranges if each.start <= place <= each.end)
        record.owner, record.token = "a", 7
        parts = split_out_position(record, place)
        covered = [number for part in parts for number in (part.start, part.end)]
        assert covered[0] == record.start and covered[-1] == record.end
        assert all(b == a + 1 for a, b in zip(covered[1:-1:2], covered[2::2], strict=True))
        assert [(p.owner, p.token) for p in parts] == [("a", 7)] * len(parts)
        assert any(part.start == part.end == place for part in parts)

    check()


@then("controller: for all loads the moves end with a ratio that no single move betters")
def moves_end(context):
    @PROPERTY
    @for_all(strategies.integers(1, 6), strategies.integers(1, 40), strategies.integers(0, 999))
    def check(server_count, range_count, seed):
        random = Random(seed)
        servers = [Server(name=f"s{n}", slots=random.randint(1, 4)) for n in range(server_count)]
        records = list(split_key_space("catalogue", range_count))
        for record in records:
            record.owner = random.choice(servers).name
        heaviest = ServerWeights(servers, records)
        ceiling = heaviest.density(heaviest.heaviest().name)
        for _ in range(range_count * server_count + 1):
            board = ServerWeights(servers, records)
            assert board.density(board.heaviest().name) <= ceiling
            ceiling = board.density(board.heaviest().name)
            move = next_move(board, records, threshold=1.1)
            if move is None:
                return
            move[0].owner = move[1]
        raise AssertionError("the moves do not end")

    check()


@then("controller: for all intervals at most the budget's moves are taken")
def budget_kept(context):
    @PROPERTY
    @for_all(strategies.integers(1, 600), strategies.lists(strategies.floats(0, 5), max_size=60))
    def check(per_minute, pauses):
        budget, now_s, taken = MoveBudget(per_minute, 0.0), 0.0, 0
        for pause_s in pauses:
            now_s += pause_s
            taken += budget.try_consume(now_s)
        assert taken <= max(1.0, per_minute / 10) + now_s * per_minute / 60 + 1e-6

    check()


@given("controller: {server_count:d} servers that share {range_count:d} ranges")
def shared_ranges(context, server_count, range_count):
    context.state = ReplicatedControlState(FixedClock())
    for number in range(server_count):
        server = Server(name=f"s{number}", service="catalogue", slots=2, state=SERVER_STATE_LIVE)
        context.state.apply(number + 1, Command(register_server={"server": server}))
    records = list(split_key_space("catalogue", range_count))
    for number, record in enumerate(records):
        record.owner, record.generation = f"s{number % server_count}", 1
    context.state.apply(server_count + 1, change([], records))


@when("controller: {count:d} of them are lost together")
def lose_together(context, count):
    context.lost = context.state.servers()[:count]
    rule_context = OwnershipContext(
        context.state, FakeLeases(context.lost), FakeLeadership(), SettingsTree(), FixedClock()
    )
    commands = reassign_ranges_of_lost_servers(rule_context)
    for index, command in enumerate(commands, context.state.applied_index + 1):
        context.state.apply(index, command)


@then("controller: no lost server owns a range")
def lost_own_nothing(context):
    assert not [each for server in context.lost for each in context.state.ranges_of(server)]
    states = [context.state.server(server.name).state for server in context.lost]
    assert states == [SERVER_STATE_LOST] * len(context.lost), states


@then("controller: each remaining server owns {count:d} ranges")
def remaining_own(context, count):
    remaining = [each for each in context.state.servers() if each.state == SERVER_STATE_LIVE]
    owned = [len(context.state.ranges_of(server)) for server in remaining]
    assert owned == [count] * len(remaining), owned


@then("controller: the history holds one tree")
def one_tree(context):
    kept = [each for each in context.state.history._changes if each.settings is not None]
    assert not kept
    assert context.state.history.delta(0, context.state.version, ()).settings.version == 3
