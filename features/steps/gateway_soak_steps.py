"""Steps on the soak of gateway processes."""

import shutil
import tempfile
from dataclasses import replace
from pathlib import Path
from random import Random

from behave import given, then, when
from gateway_soak_world import SERVERS, SoakWorld

from indigoworks_lab.crash_simulation.machine_wishes import LimitChange
from indigoworks_lab.gateway_soak.check_soak import check_soak
from indigoworks_lab.gateway_soak.draw_limits import draw_limits
from indigoworks_lab.gateway_soak.draw_plan import draw_plan
from indigoworks_lab.gateway_soak.draw_rests import draw_rests
from indigoworks_lab.gateway_soak.draw_returns import draw_returns
from indigoworks_lab.gateway_soak.draw_silences import IN_TOUCH_S, RESTED_S, draw_silences
from indigoworks_lab.gateway_soak.event_kind import EventKind
from indigoworks_lab.gateway_soak.process_life import ProcessLife
from indigoworks_lab.gateway_soak.server_run import ServerRun
from indigoworks_lab.gateway_soak.server_wish import ServerArrival, ServerWish
from indigoworks_lab.gateway_soak.soak_history import SoakHistory
from indigoworks_lab.gateway_soak.soak_request import SoakRequest
from indigoworks_lab.gateway_soak.time_span import TimeSpan

SHORT_S = 6.0
UNANSWERED_SHARE = 0.1
SHORT_GATEWAYS = 2

SERVED = SoakRequest("r1", "g0", 1, 5, False, 20.0, 20.1, status=200, is_whole=True)
CUT = replace(SERVED, status=0, is_whole=False)
MISSING = replace(SERVED, status=404)
RUN = ServerRun("r1", "s1", 20.01)
LIFE = ProcessLife("g0", 1, started_s=0.0, grace_s=6.0)
STOPPED = replace(LIFE, stopped_s=15.0, ended_s=20.6, exit_code=0)
KILLED = replace(LIFE, killed_s=20.05, ended_s=20.1, exit_code=-9)


def history(request=SERVED, runs=(RUN,), life=LIFE, acknowledged_s=10.0, troubles=(), more=()):
    return SoakHistory([*more, request], list(runs), [life], {5: acknowledged_s}, list(troubles))


def wish_history(arrivals_s, sent_s=20.0, **asked):
    """Return what a server asked for at 20 s, and when requests of that gateway arrived there."""
    made = history()
    made.wishes = [ServerWish("r1", "s1", 20.0, **asked)]
    for number, at_s in enumerate(arrivals_s):
        name = f"a{number}"
        made.requests.append(replace(SERVED, request_id=name, sent_s=sent_s, is_safe=True))
        made.arrivals.append(ServerArrival(name, "s1", at_s))
    return made


def limit_history(arrivals, **more):
    """Return what arrived within 3 s at a server that names a limit of 2 a second from 20 s on."""
    made = wish_history([20.9 + 3 * number / arrivals for number in range(arrivals)], **more)
    made.wishes = [ServerWish("r1", "s1", 20.0, limit_per_s=2.0)]
    made.limits = {"s1": [LimitChange(19.9, 2.0)]}
    return made


def returned_history(written_again_s):
    """Return a history in which the store was away from 16 s and all was written again then."""
    made = history(MISSING, (), acknowledged_s=written_again_s)
    made.returns = [TimeSpan(16.0, written_again_s)]
    return made


HISTORIES = {
    "a server got 18 requests in 4 s where it takes 2 a second": lambda: limit_history(18),
    "a server got 17 requests in 4 s where it takes 2 a second": lambda: limit_history(17),
    "a server got three requests in its rest": lambda: wish_history((21.0, 21.5, 22.9), rest_s=3.0),
    "a server got two requests in its rest, and some before and after": lambda: wish_history(
        (20.1, 20.4, 20.4, 21.0, 21.5, 23.1, 23.2), rest_s=3.0
    ),
    "a request reached a server long after it said that it leaves": lambda: wish_history(
        (22.2,), sent_s=22.1, is_leaving=True
    ),
    "a request reached a server soon after it said that it leaves": lambda: wish_history(
        (22.2,), sent_s=21.9, is_leaving=True
    ),
    "every request is answered": lambda: history(),
    "a request that was read got no answer": lambda: history(replace(CUT, was_read=True), ()),
    "a request that ran crossed a close and got no answer": lambda: history(CUT),
    "a request that did not run crossed a close unread": lambda: history(CUT, ()),
    "a request was never answered": lambda: history(replace(CUT, is_given_up=True), ()),
    "a kill cut a request": lambda: history(CUT, life=KILLED),
    "the end of a stop cuts a request while its server works": lambda: history(
        replace(CUT, sent_s=18.0, ended_s=20.6), life=STOPPED
    ),
    "a request late in a stop is cut while its server works": lambda: history(
        replace(CUT, sent_s=18.1, ended_s=20.6), life=STOPPED
    ),
    "a stop cuts a request long before its grace time is up": lambda: history(
        replace(CUT, sent_s=16.0, ended_s=19.9), life=STOPPED
    ),
    "an unsafe request ran twice": lambda: history(runs=(RUN, RUN)),
    "a safe request ran twice": lambda: history(replace(SERVED, is_safe=True), (RUN, RUN)),
    "a request that ran was refused": lambda: history(replace(SERVED, status=503)),
    "a proper request was denied": lambda: history(replace(SERVED, status=413), ()),
    "a route is not found long after its write": lambda: history(MISSING, ()),
    "a route is not found right after its write": lambda: history(MISSING, (), acknowledged_s=17.6),
    "a route is not found while the store is down": lambda: history(
        MISSING, (), troubles=(TimeSpan(13.0, 19.0),)
    ),
    "a route is not found long after the store came back from a copy": lambda: returned_history(
        17.4
    ),
    "a route is not found soon after the store came back from a copy": lambda: returned_history(
        17.6
    ),
    "a route is not found by a process that had served it": lambda: history(
        MISSING,
        (),
        acknowledged_s=19.0,
        more=(replace(SERVED, request_id="r0", sent_s=19.5, ended_s=19.6),),
    ),
    "a process ended by itself": lambda: history(life=replace(LIFE, ended_s=21.0, exit_code=-1)),
    "a process outlived its grace time": lambda: history(
        life=replace(STOPPED, stopped_s=21.0, killed_s=27.0, ended_s=27.0, exit_code=-9)
    ),
}


@given("a soak history in which {rule}")
def history_in_which(context, rule):
    context.soak_history = HISTORIES[rule]()


@given("times are not judged in the soak history")
def not_timed(context):
    context.soak_history.is_timed = False


@then("the soak checkers find just {finding}")
def find_just(context, finding):
    violations = check_soak(context.soak_history)
    found = [each.checker for each in violations]
    assert found == ([] if finding == "nothing" else [finding]), violations


@then("soak plans of {count:d} seeds are drawn alike twice and hold every kind of event")
def plans(context, count):
    drawn = [[draw_plan(Random(seed), 10.0, 3, 3) for seed in range(count)] for _ in range(2)]
    assert drawn[0] == drawn[1]
    assert {each.kind for plan in drawn[0] for each in plan} == set(EventKind)


@then("series of silent connections of {count:d} seeds are drawn alike twice, and of every rest")
def silences_drawn(context, count):
    drawn = [[draw_silences(Random(seed), 40.0) for seed in range(count)] for _ in range(2)]
    assert drawn[0] == drawn[1]
    every = [series for seed in drawn[0] for series in seed]
    assert {each.rested_s for each in every} == set(RESTED_S)
    assert {len(each.gaps_s) for each in every} == {0, 1, 2}
    assert min(each.configured_after_s for each in every) > IN_TOUCH_S


@when("a short gateway soak of seed {seed:d} runs")
def short_soak(context, seed, unanswered=0.0):
    folder = Path(tempfile.mkdtemp())
    context.add_cleanup(shutil.rmtree, folder)

    async def run():
        world = SoakWorld(seed, folder, SHORT_GATEWAYS, SERVERS, unanswered)
        plan = draw_plan(Random(seed), SHORT_S, SHORT_GATEWAYS, SERVERS)
        rests = draw_rests(Random(f"rests {seed}"), SHORT_S, SERVERS)
        limits = draw_limits(Random(f"limits {seed}"), SHORT_S, SERVERS)
        returns = draw_returns(Random(f"returns {seed}"), SHORT_S)
        silences = draw_silences(Random(f"silences {seed}"), SHORT_S)
        await world.run(plan, SHORT_S, rests, limits, returns, silences)
        world.history.is_timed = False
        return world.history

    context.soak_history = context.run_async(run())


@when("a short gateway soak of seed {seed:d} runs in which servers leave requests unanswered")
def short_soak_unanswered(context, seed):
    short_soak(context, seed, UNANSWERED_SHARE)


@then("every gateway of the soak served requests")
def every_one_served(context):
    served = {each.gateway for each in context.soak_history.requests if each.status == 200}
    assert len(served) == SHORT_GATEWAYS, served
