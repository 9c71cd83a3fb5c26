"""Steps on grants that a server left unanswered and may take late."""

from behave import then
from gateway_ownership_world import HOLD_S, TIMEOUT_S, FakeKeeper, grant, make_bounds
from store_versions import at

from indigoworks.ownership.hold_bounds import MAX_ORDER_DELAY_S, SLOW_ORDER_S
from indigoworks.ownership.keeper_set import KeeperSet
from indigoworks.ownership.owned_range import OwnedRange
from indigoworks.ownership.ownership_table import OwnershipTable


def may_apply_late(bounds, owned):
    return bounds.may_apply_late(owned.server_id, owned.first, owned.last)


def left_unanswered(owned, bounds, clock):
    grant(clock, bounds, owned)
    bounds.record_unanswered(owned)


@then("gateway owners: an answer under a higher token rules an unanswered grant out")
def fenced(context):
    clock, bounds, owned = make_bounds()
    left_unanswered(owned, bounds, clock)
    late_until_s = bounds.until_s("a", 150, 150)
    higher = OwnedRange(120, 149, "a", owned.token + 2)
    grant(clock, bounds, higher)
    assert may_apply_late(bounds, owned)
    bounds.record_answered(higher, HOLD_S)
    # Keys beside those of the answered grant stay bound, and so do those of other servers.
    assert bounds.until_s("a", 100, 119) == bounds.until_s("a", 150, 199) == late_until_s
    assert bounds.until_s("a", 120, 149) <= clock.now() + HOLD_S * 1.02 + 0.2
    assert not may_apply_late(bounds, higher) and may_apply_late(bounds, owned)


@then("gateway owners: an answered release ends holds below its token, and rules no late grant out")
def released(context):
    clock, bounds, owned = make_bounds()
    grant(clock, bounds, owned)
    bounds.record_answered(owned, HOLD_S)
    settled_until_s = bounds.until_s("a", 150, 150)
    bounds.record_released("a", 100, 199, owned.token)
    bounds.record_released("b", 100, 199, owned.token + 1)
    assert bounds.until_s("a", 150, 150) == settled_until_s
    bounds.record_released("a", 100, 199, owned.token + 1)
    assert bounds.until_s("a", 150, 150) == float("-inf")
    left_unanswered(owned, bounds, clock)
    late_until_s = bounds.until_s("a", 150, 150)
    bounds.record_released("a", 100, 199, owned.token + 1)
    assert bounds.until_s("a", 150, 150) == late_until_s
    assert may_apply_late(bounds, owned)


@then("gateway owners: the leader says how long an order under way may hold once it is slow")
def slow_order(context):
    clock, bounds, owned = make_bounds()
    bounds.record_sent(owned, HOLD_S, TIMEOUT_S)
    assert bounds.longest_left_s() == 0.0
    clock._now_s += SLOW_ORDER_S * 1.5
    assert bounds.longest_left_s() >= MAX_ORDER_DELAY_S + HOLD_S
    bounds.record_not_applied(owned)
    assert bounds.longest_left_s() == 0.0


@then("gateway owners: keys stay granted under a token that only rules a late grant out")
def stays_granted(context):
    for needs_fence in (True, False):
        made = []
        keepers = KeeperSet(lambda *args, made=made: made.append(FakeKeeper(*args)) or made[-1])
        keepers.update("shop", OwnershipTable("shop", (OwnedRange(0, 99, "a", 4),), 4, at(1)))
        made[0].is_granted, made[0].needs_fence = True, needs_fence
        assert (keepers.needing_fence("shop") == [made[0].owned]) is needs_fence
        keepers.update("shop", OwnershipTable("shop", (OwnedRange(0, 99, "a", 6),), 6, at(2)))
        assert made[1].is_granted is needs_fence
        keepers.update("shop", OwnershipTable("shop", (OwnedRange(0, 99, "b", 8),), 8, at(3)))
        assert not made[2].is_granted
