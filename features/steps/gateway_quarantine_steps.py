"""Steps on what gateways remember of requests under which servers ended."""

import gc
import tracemalloc
from itertools import count

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies

from indigoworks.exchange.peer_report import PeerReport
from indigoworks.exchange.report_codec import decode_report, encode_report
from indigoworks.exchange.suspect_codec import to_message
from indigoworks.quarantine.crash_ids import make_crash_id
from indigoworks.quarantine.quarantine import Quarantine
from indigoworks.quarantine.request_content import RequestContent
from indigoworks.quarantine.request_mark import RequestMark
from indigoworks.quarantine.suspect import CRASH_LIMIT, Suspect
from indigoworks_lab.simulation.core.manual_clock import ManualClock

WORST = 30


def content(number=0, caller="10.0.0.1", body=b"", query=""):
    return RequestContent(caller, "POST", "shop.example", f"/a/{number}{query}", body)


@given("gateway quarantines {names}")
def step_quarantines(context, names):
    context.quarantine_clock = ManualClock()
    context.quarantine_servers = (f"server-{number}" for number in count())
    context.quarantines = {each: Quarantine(context.quarantine_clock) for each in names.split(", ")}


def crash(context, name, what, server="server"):
    """As the product does: what is known before a try is sent comes before its end."""
    quarantine = context.quarantines[name]
    now_s = context.quarantine_clock.now()
    quarantine.record_crash(what, "try", server, now_s, quarantine.known_windows(what))


@when("gateway quarantine {name} sees {count:d} servers end under a request")
def step_crashes(context, name, count):
    for _ in range(count):
        crash(context, name, content(), next(context.quarantine_servers))


@when('gateway quarantine {name} sees servers end under the queries "{queries}"')
def step_query_crashes(context, name, queries):
    for query in queries.split(", "):
        crash(context, name, content(query=query), next(context.quarantine_servers))


@when('gateway quarantine {name} sees the request with "{query}" served')
def step_query_served(context, name, query):
    context.quarantines[name].record_served(content(query=query))


@then('gateway quarantine {name} refuses the request with "{query}": {is_refused}')
def step_query_refuses(context, name, query, is_refused):
    is_query_refused = context.quarantines[name].is_refused(content(query=query))
    assert is_query_refused == (is_refused == "yes")


@when("gateway quarantine {name} sees the request served")
def step_served(context, name):
    context.quarantines[name].record_served(content())


@when("{duration_s:g} s pass for gateway quarantines")
def step_pass(context, duration_s):
    context.quarantine_clock._now_s += duration_s
    for each in context.quarantines.values():
        each.remove_expired()


@when("gateway quarantine {name} tells {other}")
def step_tells(context, name, other):
    """As a datagram, whole."""
    teller = context.quarantines[name]
    teller.report_all_again()
    report = PeerReport(name, "b", 1, 0, 0.0, None, (), (), 0, suspects=teller.next_report())
    context.quarantines[other].merge_suspects(decode_report(encode_report(report)).suspects)


@then("gateway quarantine {name} refuses the request: {is_refused}")
def step_refuses(context, name, is_refused):
    assert context.quarantines[name].is_refused(content()) == (is_refused == "yes")


@then("gateway quarantine {name} refuses no request of another {part}")
def step_refuses_no_other(context, name, part):
    others = {
        "caller": content(caller="10.0.0.2"),
        "path": content(number=1),
        "body": content(body=b"other"),
    }
    assert not context.quarantines[name].is_refused(others[part])


@then("gateway quarantine {name} counts {count:d} refused innocents")
def step_innocents(context, name, count):
    assert context.quarantines[name].refused_innocents == count


@when("{count:d} servers end at gateway quarantine {name} under requests that all differ")
def step_flood(context, count, name):
    context.quarantine_traced = tracemalloc_of(
        lambda: [crash(context, name, content(number)) for number in range(WORST, count)]
    )


def tracemalloc_of(work):
    gc.collect()
    tracemalloc.start()
    try:
        work()
        gc.collect()
        return tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()


@then("gateway quarantine {name} remembers {count:d} requests in less than {megabytes:g} MB")
def step_bounded(context, name, count, megabytes):
    assert len(context.quarantines[name]._table) == count, len(context.quarantines[name]._table)
    assert context.quarantine_traced < megabytes * 1e6, context.quarantine_traced


@then("a report of gateway quarantine {name} names {count:d} requests at most, of {size:d} bytes")
def step_told(context, name, count, size):
    for _ in range(100):
        notes = context.quarantines[name].next_report()
        assert len(notes) <= count, len(notes)
        assert all(to_message(each).ByteSize() <= size for each in notes), notes


@then("gateway quarantines end with the same whatever they hear in which order")
def step_merge_property(context):
    ends = strategies.integers(0, 12).map(lambda slot: make_crash_id(slot, f"server-{slot}"))
    ids = strategies.frozensets(ends, max_size=6)
    times = strategies.floats(0, 100)
    suspects = strategies.lists(
        strategies.builds(
            Suspect,
            strategies.just(RequestMark(1, 2)),
            strategies.integers(0, 2),
            ids,
            times,
            times,
        ),
        min_size=1,
        max_size=6,
    )

    @for_all(suspects, strategies.randoms(use_true_random=False))
    def check(heard, random):
        results = set()
        for _ in range(3):
            order = [*heard, *heard[:2]]
            random.shuffle(order)
            known = order[0]
            for each in order[1:]:
                known = known.merged_with(each)
            results.add((known.generation, known.crashes, known.seen_s))
        assert len(results) == 1, results
        generation = max(each.generation for each in heard)
        union = frozenset().union(*(s.crashes for s in heard if s.generation == generation))
        (result,) = results
        assert result[0] == generation
        assert result[1] <= union and len(result[1]) >= min(CRASH_LIMIT, len(union)), result

    check()
