"""Steps on feeds through relays, and on the pace of reports."""

from dataclasses import replace

from behave import given, then, when
from gateway_relay_world import HeardPeers
from gateway_world import HOST
from hypothesis import given as for_all
from hypothesis import strategies
from store_versions import at

from indigoworks.common.address import Address
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.exchange.peer_directory import PeerDirectory, encode_peer
from indigoworks.relay import feed_history, relay_selector
from indigoworks.relay.feed_history import FeedHistory
from indigoworks.relay.feed_response import FeedResponse
from indigoworks.relay.feed_response_codec import (
    COMPRESSED_BYTES,
    decode_feed_response,
    encode_feed_response,
)
from indigoworks.relay.relay_selector import MIN_LINK_MBIT, RelaySelector, relay_capacity
from indigoworks.rowstore.row import Row
from indigoworks.rowstore.store_version import NO_VERSION, StoreVersion
from indigoworks_lab.simulation.core.manual_clock import ManualClock

TEXTS = strategies.text(max_size=6)
VERSIONS = strategies.builds(
    StoreVersion, strategies.integers(0, 2**31), strategies.integers(0, 2**40)
)
LARGE_VALUES = strategies.builds(
    lambda piece, times: piece * times,
    strategies.binary(min_size=1, max_size=9),
    strategies.integers(COMPRESSED_BYTES // 9, COMPRESSED_BYTES * 2),
)
ROWS = strategies.builds(
    Row,
    table=TEXTS,
    part=TEXTS,
    key=TEXTS,
    value=strategies.binary(max_size=9) | LARGE_VALUES,
    version=VERSIONS,
    is_removed=strategies.booleans(),
)
AGES_S = strategies.floats(0, 10**6) | strategies.just(float("inf"))
ANSWERS = strategies.builds(
    FeedResponse,
    rows=strategies.lists(ROWS, max_size=4).map(tuple),
    version=VERSIONS,
    proof_age_s=AGES_S,
    trouble_age_s=AGES_S,
    is_gone=strategies.booleans(),
    is_whole=strategies.booleans(),
)
MEASURED_S = 30.0


@then("gateway relay: for all answers decoding gives back what was encoded, no younger")
def codec(context):
    @for_all(ANSWERS, strategies.binary(max_size=30))
    def check(answer, noise):
        decoded = decode_feed_response(encode_feed_response(answer))
        assert answer.proof_age_s <= decoded.proof_age_s
        assert answer.trouble_age_s <= decoded.trouble_age_s
        for each in ("proof_age_s", "trouble_age_s"):
            known, came = getattr(answer, each), getattr(decoded, each)
            assert came == known or came - known < 0.002, (came, known)
        same = replace(decoded, proof_age_s=0.0, trouble_age_s=0.0)
        assert same == replace(answer, proof_age_s=0.0, trouble_age_s=0.0)
        garbled = decode_feed_response(noise)
        assert garbled is None or isinstance(garbled, FeedResponse)

    check()


@then("gateway relay: for all histories what is known since a version is all that changed")
def history(context):
    sizes = strategies.integers(0, feed_history.MAX_BYTES // 2)
    steps = strategies.lists(strategies.lists(sizes, max_size=3), max_size=12)

    @for_all(strategies.integers(1, 50), steps, strategies.booleans(), strategies.randoms())
    def check(start, batches, is_repeated, random):
        known, version, newest = FeedHistory(), start, {}
        assert not known.knows_since(NO_VERSION)
        known.restart(at(start))
        for batch in batches:
            # Rows of one transaction share its version.
            version += 1
            keys = random.sample("abcd", len(batch))
            rows = [
                Row("t", "", key, bytes(size), at(version))
                for key, size in zip(keys, batch, strict=True)
            ]
            newest.update((row.key, row) for row in rows)
            known.add(rows, at(version))
            if is_repeated:
                known.add(rows, at(version))
        assert known.version == at(version)
        assert not known.knows_since(at(start - 1))
        held = sum(len(row.value) for row in known.rows_after(NO_VERSION))
        assert held <= feed_history.MAX_BYTES
        for after in map(at, range(start, version + 2)):
            if known.knows_since(after):
                expected = [row for row in newest.values() if row.version > after]
                came = known.rows_after(after)
                assert sorted(came, key=str) == sorted(expected, key=str)
                assert [row.version for row in came] == sorted(row.version for row in came)
                assert known.has_after(after) == bool(expected)
            else:
                assert any(row.version > after for row in newest.values())

    check()


@then("gateway relay: a history that is begun anew as of an older version keeps what it has")
def step_overtaken(context):
    rows = [
        Row("t", "", key, b"", at(version)) for version, key in ((11, "a"), (12, "b"), (13, "c"))
    ]
    known = FeedHistory()
    known.restart(at(10))
    known.add(rows[:2], at(12))
    for older in (10, 11, 12):
        known.restart(at(older))
    known.add(rows[2:], at(13))
    assert known.knows_since(at(10)) and known.rows_after(at(10)) == tuple(rows)
    known.restart(at(14))
    assert not known.knows_since(at(13)) and known.version == at(14)


@then("gateway relay: for all histories after a whole reading all rows are known, or it says not")
def step_complete(context):
    sizes = strategies.integers(0, feed_history.MAX_BYTES // 2)
    changes = strategies.tuples(strategies.sampled_from("abcd"), sizes, strategies.booleans())

    @for_all(strategies.lists(sizes, max_size=4), strategies.lists(changes, max_size=8))
    def check(first, later):
        read = [
            Row("t", "", key, bytes(size), at(3)) for key, size in zip("abcd", first, strict=False)
        ]
        expected = {row.key: row for row in read}
        known = FeedHistory()
        assert not known.knows_all()
        known.restart(at(5), read)
        for version, (key, size, is_removed) in enumerate(later, 6):
            row = Row("t", "", key, b"" if is_removed else bytes(size), at(version), is_removed)
            known.add([row], at(version))
            expected[key] = row
        held = [row for row in expected.values() if not row.is_removed]
        if known.knows_all():
            assert sorted(known.all_rows(), key=str) == sorted(held, key=str)
        else:
            assert sum(len(row.value) for row in expected.values()) > feed_history.MAX_BYTES // 2
        known.restart(at(100))
        assert not known.knows_all()

    check()


# ---- who is asked ----


@given('a gateway relay choice of "{node}" in zone "{zone}" with capacity {capacity:g}')
def step_choice(context, node, zone, capacity):
    context.relay_clock = ManualClock()
    context.relay_directory = PeerDirectory(node)
    context.relay_peers = HeardPeers()
    context.relay_leader = ""
    context.relay_lost_for_s = 0.0
    context.relay_selector = RelaySelector(
        node,
        zone,
        capacity,
        context.relay_directory,
        context.relay_peers,
        lambda: context.relay_leader,
        lambda: context.relay_lost_for_s,
        context.relay_clock,
    )


@given('{count:d} other gateways in zone "{zone}" that are heard')
def step_others(context, count, zone):
    for number in range(count):
        hear(context, f"o{number}", zone, 9.0)


@given('{count:d} other gateways of capacity {capacity:g} in zone "{zone}" that are heard')
def step_others_with_capacity(context, count, capacity, zone):
    for number in range(count):
        hear(context, f"o{number}", zone, capacity)


@given('gateway "{node}" in zone "{zone}" with capacity {capacity:g} that is heard')
@when('gateway "{node}" in zone "{zone}" with capacity {capacity:g} is heard')
def step_heard(context, node, zone, capacity):
    hear(context, node, zone, capacity)


def hear(context, node, zone, capacity):
    peer = PeerAddress(node, "b", zone, Address(HOST, 1), capacity)
    context.relay_directory.apply([Row("c", "", f"peer/{node}", encode_peer(peer), at(1))])
    context.relay_peers.heard_s[node] = context.relay_clock.now()


@when('gateway "{node}" leads')
def step_leads(context, node):
    context.relay_leader = node


@when("gateway relay time passes the time for which a relay counts as heard")
def step_silent(context):
    context.relay_clock._now_s += relay_selector.HEARD_S + 0.01


@when("gateway relay time passes the time for which a failed relay is left alone")
def step_later(context):
    context.relay_clock._now_s += relay_selector.FAILED_S + 0.01


@when('gateway "a" finds that "{node}" failed')
def step_failed(context, node):
    context.relay_selector.record_failure(node)


@when('gateway "a" hears from "{node}" that it asks another gateway')
def step_asks_another(context, node):
    context.relay_selector.record_unavailable(node)


@when("gateway relay time passes the moment for which such a gateway is left alone")
def step_moment(context):
    context.relay_clock._now_s += relay_selector.UNAVAILABLE_S + 0.01


@when('the store has left gateway "a" without an answer for {time_s:g} s')
def step_lost(context, time_s):
    context.relay_lost_for_s = time_s


@then('gateway "a" asks the store')
def step_asks_store(context):
    assert context.relay_selector.relay() is None


@then('gateway "a" asks gateway "{node}"')
def step_asks(context, node):
    assert context.relay_selector.relay().node == node, context.relay_selector.relay()


@when("gateway relay time passes {time_s:g} s")
def step_passes(context, time_s):
    context.relay_clock._now_s += time_s


@then('gateway "a" awaits its first relay')
def step_awaits(context):
    assert context.relay_selector.awaits_first_relay()


@then('gateway "a" awaits no relay')
def step_awaits_none(context):
    assert not context.relay_selector.awaits_first_relay()


@then("gateway relay: a machine offers its cores as relay unless its link is slow")
def step_offers(context):
    assert relay_capacity(2.15, MIN_LINK_MBIT) == 2.15
    assert relay_capacity(2.15, MIN_LINK_MBIT - 1) == 0
