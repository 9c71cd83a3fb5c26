"""Steps on gateways that lose their path to all servers."""

import shutil
import tempfile
from dataclasses import replace
from pathlib import Path
from random import Random

from behave import given, then, when
from lost_path_world import LostPathWorld

from indigoworks_lab.gateway_soak.check_owner import check_owner
from indigoworks_lab.gateway_soak.check_path import after, check_path, during, share_served
from indigoworks_lab.gateway_soak.lost_path_way import LostPathWay
from indigoworks_lab.gateway_soak.path_history import PathHistory
from indigoworks_lab.gateway_soak.path_request import PathRequest
from indigoworks_lab.gateway_soak.path_request_kind import PathRequestKind

SEED = 60
CUT_S, HEALED_S, IN_CUT_S, AFTER_CUT_S = 100.0, 110.0, 104.0, 112.0

WAYS = {
    "packets lost": LostPathWay.PACKETS_LOST,
    "reset": LostPathWay.RESET,
    "no new connections": LostPathWay.NO_NEW_CONNECTIONS,
}


def _five_of_eight(names, leader):
    return [leader, *[each for each in names if each != leader][:4]]


def _all_but_one(names, leader):
    return [leader, *[each for each in names if each != leader][:-1]]


def _one_follower(names, leader):
    return [next(each for each in names if each != leader)]


CHOICES = {
    "five of eight and the leader": _five_of_eight,
    "all but one and the leader": _all_but_one,
    "one that does not lead": _one_follower,
    "the leader alone": lambda names, leader: [leader],
}


@when("the path to all servers is lost by {who}: {way}")
def lose_path(context, who, way):
    folder = Path(tempfile.mkdtemp())
    context.add_cleanup(shutil.rmtree, folder)

    async def run():
        world = LostPathWorld(SEED, folder)
        await world.run([], 0.0, besides=lambda world: world.lose_path(CHOICES[who], WAYS[way]))
        return world

    world = context.run_async(run())
    context.path_history = world.path_history
    context.key_history = world.history


@then("callers of all gateways are served alike, and keys as well")
def served_alike(context):
    history = context.path_history
    violations = [*check_path(history), *check_owner(context.key_history)]
    shares = {
        "cut": share_served(during(history, is_cut=True)),
        "others": share_served(during(history, is_cut=False)),
        "after": share_served(after(history)),
    }
    assert not violations, (shares, [str(each) for each in violations])


# ---- the checkers ----


def _request(number, gateway, sent_s, status=200, kind=PathRequestKind.UNSAFE, left_s=None):
    return PathRequest(f"r{number}", gateway, kind, sent_s, sent_s + 0.1, status, left_s)


def _sound():
    """Return a history in which all is served, at the cut gateway c and at the other one."""
    times_s = (IN_CUT_S, AFTER_CUT_S)
    kinds = (PathRequestKind.KEYED, PathRequestKind.UNSAFE)
    requests = [
        _request(f"{gateway}{at_s}{kind.value}{number}", gateway, at_s, kind=kind)
        for gateway in ("c", "o")
        for at_s in times_s
        for kind in kinds
        for number in range(10)
    ]
    begun_s = {each.request_id: [each.sent_s] for each in requests}
    return PathHistory(requests, begun_s, frozenset({"c"}), CUT_S, HEALED_S)


def _refused_where(is_meant):
    history = _sound()
    requests = [replace(each, status=503) if is_meant(each) else each for each in history.requests]
    refused = {each.request_id for each in requests if each.status == 503}
    begun_s = {key: value for key, value in history.begun_s.items() if key not in refused}
    return replace(history, requests=requests, begun_s=begun_s)


def _with(request, *begun_s):
    history = _sound()
    begun = {**history.begun_s, request.request_id: begun_s} if begun_s else history.begun_s
    return replace(history, requests=[*history.requests, request], begun_s=begun)


BROKEN = {
    "nothing breaks": _sound,
    "a cut gateway refuses all": lambda: _refused_where(
        lambda each: each.gateway == "c" and each.sent_s == IN_CUT_S
    ),
    "a cut gateway refuses what has a key": lambda: _refused_where(
        lambda each: (
            each.gateway == "c" and each.sent_s == IN_CUT_S and each.kind is PathRequestKind.KEYED
        )
    ),
    "keys end at the other gateways": lambda: _refused_where(
        lambda each: each.sent_s == IN_CUT_S and each.kind is PathRequestKind.KEYED
    ),
    "a gateway refuses all after the cut": lambda: _refused_where(
        lambda each: each.gateway == "c" and each.sent_s == AFTER_CUT_S
    ),
    "an unsafe request runs twice": lambda: _with(_request("x", "c", 101.0), 101.0, 101.1),
    "a refused request has run": lambda: _with(_request("x", "c", 101.0, 503), 101.0),
    "a request begins after its caller has left": lambda: _with(
        _request("x", "c", 101.0, 0, PathRequestKind.LEAVES, left_s=101.05), 101.6
    ),
}


@given("a record of gateways without a path in which {rule}")
def path_record(context, rule):
    context.path_history = BROKEN[rule]()


@then("the checkers of lost paths find just {finding}")
def path_finding(context, finding):
    found = {each.checker for each in check_path(context.path_history)}
    assert found == (set() if finding == "nothing" else {finding}), found


@then("each draw cuts at least one gateway and never all of {count:d}")
def drawn_cuts(context, count):
    from indigoworks_lab.gateway_soak.lost_path_gateways import lost_path_gateways

    names = [f"g{number}" for number in range(count)]
    random = Random(SEED)
    seen = set()
    for _ in range(200):
        draws = [random.random() for _ in range(3)]
        cut = lost_path_gateways(names, "g1", draws)
        assert 1 <= len(set(cut)) == len(cut) < count, cut
        seen.add((len(cut), "g1" in cut))
    assert len(seen) == 6, seen
