"""Steps on tables of owners, their keepers and the bounds of holds."""

from random import Random

from behave import then
from gateway_ownership_world import HOLD_S, FakeKeeper, grant, make_bounds
from hypothesis import given as for_all
from hypothesis import strategies
from store_versions import at

from indigoworks.ownership import hold_bounds
from indigoworks.ownership.hold_bounds import HoldBounds
from indigoworks.ownership.keeper_set import KeeperSet
from indigoworks.ownership.owned_range import OwnedRange
from indigoworks.ownership.ownership_table import KEY_COUNT, OwnershipTable
from indigoworks.ownership.range_move import RangeMove
from indigoworks.ownership.table_editor import (
    first_table,
    with_moves,
    with_new_token_of,
    with_new_tokens,
    without_former,
)

SEEDS = strategies.integers(0, 10**6)
SERVERS = ("a", "b", "c", "d")


def random_move(random, table):
    owned = random.choice(table.ranges)
    first = random.randint(owned.first, owned.last)
    last = random.choice([owned.last, random.randint(first, owned.last)])
    first = random.choice([first, owned.first])
    target = random.choice([each for each in SERVERS if each != owned.server_id])
    return RangeMove(first, last, owned.server_id, target, "test")


def random_change(random, table):
    """Return a changed table and the keys that moved."""
    kind = random.choice(["move", "move", "moves", "tokens", "token", "clean"])
    if kind == "tokens":
        return with_new_tokens(table), []
    if kind == "token":
        return with_new_token_of(table, [random.choice(table.ranges)]), []
    if kind == "clean":
        return without_former(table, random.sample(table.ranges, 1)), []
    moves = [random_move(random, table) for _ in range(1 if kind == "move" else 3)]
    return with_moves(table, moves), moves


def start(random):
    count = random.randint(1, len(SERVERS))
    weights = [random.randint(1, 9) for _ in range(count)]
    return first_table("shop", SERVERS[:count], weights)


def former_ids(owned):
    return {getattr(each, "server_id", each) for each in owned.former}


def assert_covered(table):
    firsts = [each.first for each in table.ranges]
    lasts = [each.last for each in table.ranges]
    assert firsts[0] == 0 and lasts[-1] == KEY_COUNT - 1
    assert firsts[1:] == [each + 1 for each in lasts[:-1]], table.ranges
    assert all(each.width > 0 and each.token <= table.highest_token for each in table.ranges)


def edges(*tables):
    """Return keys at which anything can change in one of the tables."""
    return {key for table in tables for each in table.ranges for key in (each.first, each.last)}


@then("gateway owners: for all changes a table read from its row equals the one written")
def round_trip(context):
    @for_all(SEEDS)
    def check(seed):
        random = Random(seed)
        table = start(random)
        for _ in range(5):
            table, _ = random_change(random, table)
        read = OwnershipTable.decode("shop", table.encode(), at(7))
        assert (read.ranges, read.highest_token) == (table.ranges, table.highest_token)
        assert read.version == at(7)
        for key in edges(table):
            assert read.find(key).holds(key)

    check()


@then("gateway owners: for all first tables every key has one owner, in shares of the weights")
def first_tables(context):
    @for_all(strategies.lists(strategies.integers(1, 64), min_size=1, max_size=40))
    def check(weights):
        names = [f"s{number}" for number in range(len(weights))]
        table = first_table("shop", names, weights)
        assert_covered(table)
        assert [each.server_id for each in table.ranges] == names
        for owned, weight in zip(table.ranges, weights, strict=True):
            assert abs(owned.width - KEY_COUNT * weight / sum(weights)) <= 1

    check()


@then("gateway owners: for all moves every key stays covered once and tokens only grow")
def moves_cover(context):
    @for_all(SEEDS)
    def check(seed):
        random = Random(seed)
        table = start(random)
        for _ in range(6):
            before = table
            table, moves = random_change(random, before)
            assert_covered(table)
            assert table.highest_token >= before.highest_token
            for key in edges(before, table):
                assert_key(before, table, moves, key)

    check()


def assert_key(before, table, moves, key):
    old, new = before.find(key), table.find(key)
    assert new.token >= old.token
    if new.server_id == old.server_id:
        return
    assert any(each.first <= key <= each.last for each in moves)
    # A release goes out under the token between: it too is above every token before.
    assert new.token - 1 > before.highest_token
    assert old.server_id in former_ids(new)
    assert former_ids(old) - {new.server_id} <= former_ids(new)


@then("gateway owners: for all new tokens nothing but tokens changes, and they grow")
def new_tokens(context):
    @for_all(SEEDS)
    def check(seed):
        random = Random(seed)
        before, _ = random_change(random, start(random))
        table = with_new_tokens(before)
        chosen = random.choice(before.ranges)
        single = with_new_token_of(before, [chosen])
        for key in edges(before):
            old = before.find(key)
            for changed in (table, single):
                new = changed.find(key)
                assert (new.server_id, new.former) == (old.server_id, old.former)
                is_renewed = changed is table or old == chosen
                assert new.token > before.highest_token if is_renewed else new.token == old.token

    check()


@then("gateway owners: for all changes keepers fit the table, granted where the owner holds it")
def keepers_fit(context):
    @for_all(SEEDS)
    def check(seed):
        random, made = Random(seed), []
        keepers = KeeperSet(lambda *args: made.append(FakeKeeper(*args)) or made[-1])
        table = start(random)
        keepers.update("shop", table)
        for _ in range(5):
            for each in made:
                each.is_granted |= random.random() < 0.7
            held = [each for each in made if each.is_granted and not each.is_stopped]
            before = {each.owned for each in made if not each.is_stopped}
            table, _ = random_change(random, table)
            keepers.update("shop", table)
            live = [each for each in made if not each.is_stopped]
            assert sorted(each.owned.first for each in live) == [x.first for x in table.ranges]
            assert {each.owned for each in live} == set(table.ranges)
            for each in live:
                if each.owned not in before:
                    assert each.is_granted == is_held(held, each.owned), each.owned
            not_granted = {each.owned.first for each in live if not each.is_granted}
            assert {each.first for each in keepers.pending()} == not_granted
        keepers.stop_all()
        assert all(each.is_stopped for each in made) and not keepers.pending()

    check()
    made = []
    keepers = KeeperSet(lambda *args: made.append(FakeKeeper(*args)) or made[-1])
    pieces = (OwnedRange(0, 99, "a", 4), OwnedRange(100, KEY_COUNT - 1, "a", 4))
    keepers.update("shop", OwnershipTable("shop", pieces, 4, at(1)))
    made[0].is_granted = True
    keepers.update(
        "shop", OwnershipTable("shop", (OwnedRange(0, KEY_COUNT - 1, "a", 4),), 4, at(2))
    )
    assert not made[2].is_granted


def is_held(held, owned):
    """Tell whether the owner held every key before, under the same token."""
    same = [
        each.owned
        for each in held
        if (each.owned.server_id, each.owned.token) == (owned.server_id, owned.token)
    ]
    keys = {owned.first, owned.last}
    keys |= {key for each in same for key in (each.first - 1, each.last + 1) if owned.holds(key)}
    return all(any(each.holds(key) for each in same) for key in keys)


@then("gateway owners: an answered grant ends within the hold of a slow clock")
def answered(context):
    clock, bounds, owned = make_bounds()
    grant(clock, bounds, owned)
    bounds.record_answered(owned, HOLD_S)
    left_s = bounds.until_s("a", 150, 150) - clock.now()
    # The server's clock may run 2 % slow: that is the users' figure.
    assert HOLD_S * 1.02 <= left_s <= HOLD_S * 1.02 + hold_bounds.SEND_MARGIN_S + 1e-9, left_s
    assert bounds.until_s("b", 150, 150) == bounds.until_s("a", 200, 300) == float("-inf")
    assert bounds.until_s("a", 199, 300) == bounds.until_s("a", 0, 100) > clock.now()


@then("gateway owners: a grant without answer may begin late")
def unanswered(context):
    clock, bounds, owned = make_bounds()
    sent_s = clock.now()
    late_s = sent_s + hold_bounds.MAX_ORDER_DELAY_S + HOLD_S * 1.02
    grant(clock, bounds, owned)
    assert bounds.until_s("a", 150, 150) >= late_s
    bounds.record_unanswered(owned)
    assert bounds.until_s("a", 150, 150) >= late_s
    grant(clock, bounds, owned)
    bounds.record_answered(owned, HOLD_S)
    # An answer to a later grant says nothing about the one that had none.
    assert bounds.until_s("a", 150, 150) >= late_s
    grant(clock, bounds, owned)
    bounds.record_not_applied(owned)
    assert bounds.until_s("a", 150, 150) >= late_s


@then("gateway owners: a grant that was not taken binds nobody")
def not_taken(context):
    clock, bounds, owned = make_bounds()
    grant(clock, bounds, owned)
    bounds.record_not_applied(owned)
    assert bounds.until_s("a", 150, 150) == float("-inf")
    grant(clock, bounds, owned)
    bounds.record_answered(owned, HOLD_S)
    until_s = bounds.until_s("a", 150, 150)
    clock._now_s = until_s - 0.01
    bounds.drop_expired()
    assert bounds.until_s("a", 150, 150) == until_s
    clock._now_s = until_s + 0.01
    bounds.drop_expired()
    assert bounds.until_s("a", 150, 150) == float("-inf")


@then("gateway owners: what earlier leaders granted binds every server until it is tightened")
def predecessor(context):
    clock, bounds, owned = make_bounds()
    assert HoldBounds(clock).until_s("x", 0, 0) == float("inf")
    bounds.start_epoch(clock.now() + 9.0)
    assert bounds.until_s("x", 0, 0) == clock.now() + 9.0
    bounds.lower_predecessor_bound(clock.now() + 12.0)
    assert bounds.until_s("x", 0, 0) == clock.now() + 9.0
    bounds.lower_predecessor_bound(clock.now() + 1.0)
    assert bounds.until_s("x", 0, 0) == clock.now() + 1.0
    grant(clock, bounds, owned)
    bounds.record_answered(owned, HOLD_S)
    assert bounds.until_s("a", 150, 150) == bounds.own_until_s("a", 150, 150) > clock.now() + 1.0
