"""Steps on the soak of servers that hold keys."""

import asyncio
import json
from dataclasses import replace
from random import Random

from behave import given, step, then, when
from key_soak_run import run_short_soak

from indigoworks_lab.gateway_soak.check_key_requests import check_key_requests
from indigoworks_lab.gateway_soak.check_owner import check_owner, excused
from indigoworks_lab.gateway_soak.draw_key_plan import draw_key_plan
from indigoworks_lab.gateway_soak.healed_path import HealedPath
from indigoworks_lab.gateway_soak.key_book import KeyBook
from indigoworks_lab.gateway_soak.key_event import KeyEvent
from indigoworks_lab.gateway_soak.key_event_kind import KeyEventKind
from indigoworks_lab.gateway_soak.key_history import KeyHistory
from indigoworks_lab.gateway_soak.key_server_life import KeyServerLife
from indigoworks_lab.launcher.free_ports import LOOPBACK

SHORT_S = 8.0
POLL_S = 0.05
SHORT_KINDS = (
    KeyEventKind.PAUSE_SERVER,
    KeyEventKind.PAUSE_LEADER,
    KeyEventKind.KILL_LEADERS,
    KeyEventKind.STORE_CLOCK,
    KeyEventKind.FOREIGN_ENTRY,
    KeyEventKind.SILENT_CONNECTIONS,
)
RESTART_KINDS = (
    KeyEventKind.RESTART_SERVER,
    KeyEventKind.KILL_LEADERS,
    KeyEventKind.FOREIGN_ENTRY,
    KeyEventKind.SILENT_CONNECTIONS,
)

SENDER, PORT = "127.0.1.1", 4001
TAKEN = KeyEvent("taken", 100.0, SENDER, 10, 20, 4, 3.0)
BEGUN = KeyEvent("begun", 101.0, first=15, last=15, token=4, request_id="r1")
ENDED = replace(BEGUN, kind="ended", at_s=101.2)
RELEASED = KeyEvent("released", 101.5, SENDER, 10, 20, 5)


def taken(at_s, token=6, **fields):
    return replace(TAKEN, at_s=at_s, token=token, **fields)


def begun(at_s, request_id="r2", **fields):
    return replace(BEGUN, at_s=at_s, request_id=request_id, **fields)


def history(one, other, ended_s=200.0, healed=(), **fields):
    lives = [KeyServerLife("s1", 1, one, ended_s), KeyServerLife("s2", 1, other, 200.0)]
    return KeyHistory(lives, healed, **fields)


def together(healed=(), **fields):
    """Two servers hold the same keys from 101 s to 103 s."""
    return history([TAKEN], [taken(101.0, sender_port=PORT)], healed=healed, **fields)


def late(**fields):
    sent_s = {("s2", SENDER): {PORT: [100.5]}}
    return together(sent_s=sent_s, **fields)


def late_both_begin():
    made = late()
    one, other = made.lives
    made.lives = [
        replace(one, events=[*one.events, begun(101.4, "r1")]),
        replace(other, events=[*other.events, begun(101.6)]),
    ]
    return made


def answered(status, *begun_at):
    """The request "r1" may run once, and began at a server for each letter of `begun_at`."""
    events = {name: [BEGUN] if name in begun_at else [] for name in "ab"}
    return history(events["a"], events["b"], unsafe_answers={"r1": status})


HISTORIES = {
    "a request that may run once ran at two servers": lambda: answered(200, "a", "b"),
    "a request that ran was refused by the gateway": lambda: answered(503, "a"),
    "a request that ran was answered with 502": lambda: answered(502, "a"),
    "a request that did not run was refused": lambda: answered(503),
    "two servers hold a key together for 0.6 s": lambda: history([TAKEN], [taken(102.4)]),
    "two servers hold a key together for 0.4 s": lambda: history([TAKEN], [taken(102.6)]),
    # Nothing in the record of a stopped server says that it stopped.
    "a stopped server holds a key beside another one": lambda: history(
        [TAKEN, BEGUN, ENDED], [taken(101.9), begun(104.0)], woken_s={"s1": [110.0]}
    ),
    "two servers hold keys together by renewals of either": lambda: history(
        [TAKEN, replace(TAKEN, at_s=102.9)], [taken(102.7, hold_s=0.4), taken(103.0, hold_s=0.4)]
    ),
    "two servers hold a key together for 0.4 s and both begin requests on it": lambda: history(
        [TAKEN, begun(102.7, "r1"), replace(ENDED, at_s=102.75)],
        [taken(102.6), begun(102.9)],
    ),
    "both servers begin requests, one before both hold the key": lambda: history(
        [TAKEN, BEGUN, ENDED], [taken(102.6), begun(102.9)]
    ),
    "a grant that was late makes both servers begin requests on a key": late_both_begin,
    "a server takes a key that another one works on after its release": lambda: history(
        [TAKEN, replace(BEGUN, at_s=101.4), RELEASED, replace(ENDED, at_s=101.9)], [taken(101.7)]
    ),
    "a server takes a key when the other one's work has ended": lambda: history(
        [TAKEN, BEGUN, ENDED, RELEASED], [taken(101.7)]
    ),
    "a server takes a key under the token that another one had": lambda: history(
        [TAKEN, RELEASED], [taken(101.7, token=4)]
    ),
    "a server takes a key under a lower token than another one had long before": lambda: history(
        [TAKEN, taken(104.0, first=15, last=15, token=9)], [taken(150.0, token=8)]
    ),
    "another server takes a key under the token that a killed one had": lambda: history(
        [TAKEN], [taken(103.5, token=4)], ended_s=101.0
    ),
    "a server takes an old grant right after a link healed": lambda: history(
        [TAKEN], [taken(150.0, token=3)], healed=[HealedPath(SENDER, 149.9, "s2")]
    ),
    "two servers hold a key together after another sender was thawed": lambda: together(
        [HealedPath("127.0.1.2", 100.9)]
    ),
    "two servers hold a key together 0.4 s after the sender was thawed": lambda: together(
        [HealedPath(SENDER, 100.6)]
    ),
    "two servers hold a key together after the link of another server healed": lambda: together(
        [HealedPath(SENDER, 100.9, "s3")]
    ),
    "two servers hold a key together right after the sender was thawed": lambda: together(
        [HealedPath(SENDER, 100.75)]
    ),
    "two servers hold a key together right after the link healed": lambda: together(
        [HealedPath(SENDER, 100.75, "s2")]
    ),
    "two servers hold a key together by a grant that was late": late,
    "a key passes from server to server": lambda: history(
        [TAKEN, RELEASED, taken(110.0, token=8)], [taken(101.6), replace(RELEASED, at_s=109.0)]
    ),
    "two servers hold different keys and both begin requests": lambda: history(
        [TAKEN, BEGUN],
        [taken(100.5, token=1, first=21, last=30), begun(101.0, first=22, last=22)],
    ),
    "a server is killed and another one takes its key": lambda: history(
        [TAKEN, BEGUN], [taken(101.3), begun(101.4)], ended_s=101.2
    ),
    "a hold is cut short by a renewal": lambda: history(
        [replace(TAKEN, hold_s=10.0), replace(TAKEN, at_s=101.0)], [taken(104.1)]
    ),
    "a grant is renewed after another server had the key": lambda: history(
        [TAKEN, replace(TAKEN, at_s=110.0)], [taken(104.0)]
    ),
}


@given("a record of key servers in which {rule}")
def record_in_which(context, rule):
    context.key_history = HISTORIES[rule]()


@then("the checkers of owners find just {finding}")
def find_just(context, finding):
    violations = check_owner(context.key_history)
    found = {each.checker for each in violations}
    assert found == (set() if finding == "nothing" else {finding}), violations


@then("the checkers of requests with keys find just {finding}")
def find_requests(context, finding):
    violations = check_key_requests(context.key_history)
    found = {each.checker for each in violations}
    assert found == (set() if finding == "nothing" else {finding}), violations


@then("the checkers of owners find owner_hold and owner_token")
def find_both(context):
    violations = check_owner(context.key_history)
    assert {"owner_hold", "owner_token"} <= {each.checker for each in violations}, violations


@then("the checkers of owners excuse {finding}")
def excuse(context, finding):
    violations = excused(context.key_history)
    assert {each.checker for each in violations} == {finding}, violations


@then("plans of the soak with keys of {count:d} seeds are drawn alike twice and hold every kind")
def key_plans(context, count):
    drawn = [[draw_key_plan(Random(seed), 40.0) for seed in range(count)] for _ in range(2)]
    assert drawn[0] == drawn[1]
    assert {each.kind for plan in drawn[0] for each in plan} == set(KeyEventKind)


# ---- the book of a server ----


@given("a book of keys of a server")
def book(context):
    context.key_book = KeyBook()


@given("a book of keys of a server that forgets the tokens of releases")
def forgetful_book(context):
    context.key_book = KeyBook(forgets_release_tokens=True)


@step("the book takes keys {first:d} to {last:d} under token {token:d} for {hold_s:g} s")
def book_takes(context, first, last, token, hold_s):
    assert context.key_book.take(first, last, token, 100.0 + hold_s)


@when("the book releases keys {first:d} to {last:d} under token {token:d}")
def book_releases(context, first, last, token):
    context.key_book.release(first, last, token)


@then("the book refuses keys {first:d} to {last:d} under token {token:d}")
def book_refuses(context, first, last, token):
    assert not context.key_book.take(first, last, token, 103.0)


@then("the book holds {held:d} and does not hold {other:d}")
def book_holds(context, held, other):
    assert context.key_book.lease(held).until_s == 103.0
    assert context.key_book.lease(other).until_s < 100.0


# ---- real processes ----


@when("a short soak with keys of seed {seed:d} runs")
def short_key_soak(context, seed):
    plan = draw_key_plan(Random(seed), SHORT_S, SHORT_KINDS)
    context.key_history = run_short_soak(context, seed, plan, SHORT_S)


@when(
    "a short soak with keys of seed {seed:d} runs in which servers start again and repeat refusals"
)
def short_restart_soak(context, seed):
    plan = draw_key_plan(Random(seed), SHORT_S, RESTART_KINDS)
    options = {"repeats_refusals": True}
    context.key_history = run_short_soak(context, seed, plan, SHORT_S, **options)


@when("a soak with keys runs in which a stranger grants what a server holds to another one")
def strange_grant(context):
    context.key_history = run_short_soak(context, 8, [], SHORT_S, _grant_again)


async def _grant_again(world):
    """Send the newest grant of one server to another one, as nobody may."""
    one, other = world.servers[:2]
    grants = []
    while not grants:
        await asyncio.sleep(POLL_S)
        grants = [each for life in one.lives(0.0) for each in life.events if each.kind == "taken"]
    newest = grants[-1]
    order = {"first": newest.first, "last": newest.last, "token": newest.token, "hold_ms": 3000}
    body = json.dumps(order).encode()
    _, writer = await asyncio.open_connection(LOOPBACK, other.port)
    head = f"POST /grant HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode() + body)
    await writer.drain()
    world.spawn(_close_later(writer))


async def _close_later(writer):
    await asyncio.sleep(SHORT_S)
    writer.close()


@then("every server of the soak with keys began requests, and keys passed on")
def keys_passed_on(context):
    lives = context.key_history.lives
    began = {life.server_id for life in lives if any(e.kind == "begun" for e in life.events)}
    assert began == {life.server_id for life in lives}, began
    released = [e for life in lives for e in life.events if e.kind == "released"]
    assert released
