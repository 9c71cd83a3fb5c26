"""Steps on reports between gateways and the table of the peers."""

from dataclasses import replace
from random import Random

from behave import given, then, when
from gateway_world import HOST, make_record
from hypothesis import given as for_all
from hypothesis import strategies

from indigoworks.common.address import Address
from indigoworks.exchange import peer_table
from indigoworks.exchange.exchange_pb2 import PeerReportMessage
from indigoworks.exchange.key_sample import KeySample
from indigoworks.exchange.leader_beat import LeaderBeat, PendingRange
from indigoworks.exchange.peer_report import AgedReport, PeerReport
from indigoworks.exchange.peer_table import PeerTable
from indigoworks.exchange.report_codec import (
    decode_datagram,
    decode_report,
    encode_forwarded,
    encode_report,
)
from indigoworks.gateway.server_stats import ServerStats
from indigoworks.rowstore.store_version import StoreVersion
from indigoworks_lab.simulation.core.manual_clock import ManualClock

TEXTS = strategies.text(max_size=8)
NUMBERS = strategies.integers(0, 2**40)
KEYS = strategies.integers(0, 65535)
AGES_S = strategies.integers(0, 10**6).map(lambda each: each / 1000)
BEATS = strategies.builds(
    LeaderBeat,
    epoch=NUMBERS,
    proof_age_s=AGES_S,
    hold_s=AGES_S,
    pending=strategies.lists(
        strategies.builds(PendingRange, service=TEXTS, first=KEYS, last=KEYS, token=NUMBERS),
        max_size=3,
    ).map(tuple),
)
SAMPLES = strategies.builds(
    KeySample,
    service=TEXTS,
    keys=strategies.lists(KEYS, max_size=5).map(tuple),
    total=strategies.integers(0, 10**6),
)
COUNTS = strategies.dictionaries(strategies.text("abc", min_size=1, max_size=2), KEYS, max_size=4)
VERSIONS = strategies.builds(StoreVersion, strategies.integers(0, 2**31), NUMBERS)
REPORTS = strategies.builds(
    PeerReport,
    node=strategies.text(min_size=1, max_size=8),
    boot=TEXTS,
    sequence=NUMBERS,
    epoch=NUMBERS,
    beat_age_s=AGES_S | strategies.just(float("inf")),
    leader=strategies.none() | BEATS,
    loads=COUNTS.map(lambda counts: loads_of(counts)),
    samples=strategies.lists(SAMPLES, max_size=3).map(tuple),
    retry_count=strategies.integers(0, 10**6),
    hub=TEXTS,
    is_joining=strategies.booleans(),
    group_version=VERSIONS,
    operator_row_version=VERSIONS,
    members=strategies.lists(
        strategies.tuples(strategies.integers(0, 2**32 - 1), NUMBERS), max_size=3
    ).map(tuple),
)


def loads_of(counts, service_s=0.25):
    """Return loads as a gateway reports them; `counts` by server id."""
    clock = ManualClock()
    board = ServerStats(PeerTable(clock), clock)
    for server_id in counts:
        board.start(make_record(server_id, Address(HOST, 1)))
    by_server = zip(board.loads(), counts.values(), strict=True)
    return tuple(replace(load, in_flight=count, service_s=service_s) for load, count in by_server)


def report(node, boot, sequence, counts):
    return PeerReport(node, boot, sequence, 0, 0.0, None, loads_of(counts), (), 0)


@then("gateway exchange: for all reports decoding gives back what was encoded")
def round_trip(context):
    @for_all(REPORTS)
    def check(each):
        assert decode_report(encode_report(each)) == each

    check()


@then("gateway exchange: forwarded reports come out as they went in, without beats and samples")
def forwarded_round_trip(context):
    @for_all(REPORTS, strategies.lists(strategies.tuples(REPORTS, AGES_S), max_size=3))
    def check(own, others):
        aged = [AgedReport(each, age_s) for each, age_s in others]
        decoded = decode_datagram(encode_report(own) + encode_forwarded(aged))
        expected = [
            AgedReport(replace(each.report, leader=None, samples=()), each.age_s) for each in aged
        ]
        assert decoded == [AgedReport(own, 0.0), *expected]

    check()


@then("gateway exchange: a report whose columns differ in length is none")
def ragged(context):
    message = PeerReportMessage(node="p", load_servers=[1, 2], load_in_flight=[1])
    assert decode_report(message.SerializeToString()) is None
    message = PeerReportMessage(node="p", members=[1, 2], member_sequences=[1])
    assert decode_report(message.SerializeToString()) is None


@then("gateway exchange: for all bytes decoding gives a report or nothing")
def any_bytes(context):
    @for_all(strategies.binary(max_size=40), REPORTS, strategies.integers(0, 200))
    def check(noise, each, length):
        for datagram in (noise, encode_report(each)[:length], encode_report(each) + noise):
            decoded = decode_report(datagram)
            assert decoded is None or (isinstance(decoded, PeerReport) and decoded.node)
        assert decode_report(encode_report(replace(each, node=""))) is None

    check()


@then(
    "gateway exchange: whatever arrives in whatever order, in-flight counts are the peers' newest"
)
def sums(context):
    @for_all(strategies.integers(0, 10**6), strategies.integers(1, 40))
    def check(seed, count):
        random, clock = Random(seed), ManualClock()
        table, newest, heard_s = PeerTable(clock), {}, {}
        for _ in range(count):
            clock._now_s += random.choice([0.0, 0.1, 0.7, 1.5]) * peer_table.LIVE_S
            node, boot = random.choice("pqr"), random.choice("xy")
            sequence = random.randint(1, 5)
            counts = {each: random.randint(0, 9) for each in random.sample("abc", 2)}
            known = newest.get(node)
            is_new = known is None or known[0] != boot or known[1] < sequence
            assert table.record_report(report(node, boot, sequence, counts)) == is_new
            if is_new:
                newest[node], heard_s[node] = (boot, sequence, counts), clock.now()
            table.drop_silent()
            earliest_s = clock.now() - peer_table.LIVE_S
            newest = {each: newest[each] for each in newest if heard_s[each] >= earliest_s}
            for server_id in "abc":
                expected = sum(each[2].get(server_id, 0) for each in newest.values())
                assert table.in_flight(server_id) == expected

    check()


@given("a gateway peer table")
def a_table(context):
    context.gateway_clock = ManualClock()
    context.gateway_table = PeerTable(context.gateway_clock)


@when(
    'gateway peer "{node}" of boot "{boot}" reports {count:d} in flight at "{server_id}" '
    "under sequence {sequence:d}"
)
def peer_reports(context, node, boot, count, server_id, sequence):
    context.gateway_table.record_report(report(node, boot, sequence, {server_id: count}))


@then('the gateway peer table holds {count:d} in flight at "{server_id}" from {peers:d} peer')
@then('the gateway peer table holds {count:d} in flight at "{server_id}" from {peers:d} peers')
def table_holds(context, count, server_id, peers):
    assert len(list(context.gateway_table.live_reports())) == peers
    context.gateway_table.drop_silent()
    assert context.gateway_table.in_flight(server_id) == count


@when("gateway peers are silent for as long as they count as live")
def silent(context):
    context.run_async(context.gateway_clock.advance(peer_table.LIVE_S))


@when("gateway peers are silent a moment longer")
def silent_longer(context):
    context.run_async(context.gateway_clock.advance(0.001))


@then("gateway exchange: samples come out once, the newest of too many")
def samples(context):
    table = PeerTable(ManualClock())
    made = [KeySample("shop", (key,), 1) for key in range(peer_table.MAX_SAMPLES + 5)]
    table.record_report(replace(report("p", "x", 1, {}), samples=tuple(made[:10])))
    table.add_samples(made[10:])
    assert table.drain_samples() == made[5:]
    assert table.drain_samples() == []
