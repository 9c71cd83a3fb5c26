"""Steps on the processor time of routers."""

import asyncio
from random import Random
from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from eliot import add_destinations, remove_destination
from prometheus_client import CollectorRegistry

from indigoworks.common.address import Address
from indigoworks.common.logging.log_level import LogLevel
from indigoworks.common.logging.log_threshold import LOG_THRESHOLD
from indigoworks.router.caller_request import CallerRequest
from indigoworks.router.caller_response import CallerResponse
from indigoworks.router.dispatcher_cache import DispatcherCache
from indigoworks.router.dispatcher_choice import dispatcher_of
from indigoworks.router.metrics import RouterMetrics
from indigoworks.router.outcome import Outcome
from indigoworks.router.router_observer import RouterObserver
from indigoworks.router.router_peer import RouterPeer
from indigoworks.router.server_record import ServerRecord
from indigoworks_lab.load.counted_load import CountedLoad
from indigoworks_lab.load.hop_path import HopPath
from indigoworks_lab.load.load_outcome import LoadOutcome
from indigoworks_lab.load.load_plan import LoadPlan
from indigoworks_lab.load.load_request import LoadRequest
from indigoworks_lab.load.router_cost_comparison import OTHER, THIS, RouterCostComparison
from indigoworks_lab.load.router_cost_report import RouterCostReport
from indigoworks_lab.load.router_profile import RouterProfile

OURS = ("/x/indigoworks/router/request_path.py", 1, "run")
TORNADO = ("/x/tornado/web.py", 1, "finish")
WAITING = ("~", 0, "<method 'poll' of 'select.epoll' objects>")
BUILT_IN = ("~", 0, "<method 'lower' of 'str' objects>")
US = 1e-6


@when("costs: {count:d} choices are made while routers join, leave and are suspected")
def make_choices(context: Any, count: int) -> None:
    random = Random(context.seed)
    everyone = [
        RouterPeer(f"router-{number}", "run", f"zone-{number % 3}", Address("10.0.0.1", number))
        for number in range(12)
    ]
    servers = [
        ServerRecord(f"s{number}", "run", "x", f"zone-{number % 4}", Address("10.0.0.2", 1), 2, 100)
        for number in range(8)
    ]
    choices = DispatcherCache()
    routers: tuple[RouterPeer, ...] = ()
    suspects: frozenset[RouterPeer] = frozenset()
    context.choices = []
    for _ in range(count):
        if random.random() < 0.1:
            routers = tuple(random.sample(everyone, random.randrange(len(everyone))))
        if random.random() < 0.1:
            suspects = frozenset(random.sample(everyone, 2))
        server = random.choice(servers)
        remembered = choices.dispatcher_of(server, routers, suspects)
        context.choices.append((remembered, dispatcher_of(server, routers, suspects)))


@then("costs: each remembered choice is the one made anew")
def choices_agree(context: Any) -> None:
    assert all(remembered == anew for remembered, anew in context.choices)
    assert len({anew for _, anew in context.choices}) > 4


@given("costs: a process that writes messages from level {level} on")
def threshold(context: Any, level: str) -> None:
    context.add_cleanup(LOG_THRESHOLD.set, LogLevel.DEBUG)
    LOG_THRESHOLD.set(LogLevel[level])


@when("costs: a request is answered")
def answered(context: Any) -> None:
    follower: Any = SimpleNamespace(latest=None, lease_remaining_s=lambda: 0.0)
    clock: Any = SimpleNamespace(now=lambda: 1.0)
    metrics = RouterMetrics(CollectorRegistry())
    observer = RouterObserver(metrics, follower, follower, clock)
    request = CallerRequest("id-1", "x", b"k", "default", "GET", "/v1/x/k", (), b"", None, None)
    context.messages = []
    add_destinations(context.messages.append)
    try:
        observer.record_response(request, CallerResponse(200, (), b"", Outcome.COMPLETED), 0.5)
    finally:
        remove_destination(context.messages.append)


@then("costs: {count:d} messages were made for it")
def messages_made(context: Any, count: int) -> None:
    made = [each for each in context.messages if each.get("request_id") == "id-1"]
    assert len(made) == count, context.messages


@given(
    "costs: a profile of 10 requests with {ours:d} us of ours, {tornado:d} us of tornado "
    "and {waiting:d} s of waiting"
)
def profile(context: Any, ours: int, tornado: int, waiting: int) -> None:
    context.stats = {
        OURS: (1, 1, ours * US, 1.0, {}),
        TORNADO: (1, 1, tornado * US, 1.0, {}),
        WAITING: (1, 1, float(waiting), float(waiting), {}),
    }


@given("costs: a built-in function that ours calls for {ours:d} us and tornado for {tornado:d} us")
def built_in(context: Any, ours: int, tornado: int) -> None:
    callers = {OURS: (1, 1, ours * US, 0.0), TORNADO: (1, 1, tornado * US, 0.0)}
    context.stats[BUILT_IN] = (2, 2, (ours + tornado) * US, 0.0, callers)


@then('costs: a request has {expected:d} us of "{part}"')
def part_time(context: Any, expected: int, part: str) -> None:
    assert round(RouterProfile.of(context.stats, 10).parts[part], 6) == expected


@then("costs: a request has {expected:d} us in all")
def whole_time(context: Any, expected: int) -> None:
    assert round(sum(RouterProfile.of(context.stats, 10).parts.values()), 6) == expected


class CountingTarget:
    """Notes what it gets."""

    def __init__(self) -> None:
        self.ids: list[str] = []
        self.under_way = 0
        self.most_under_way = 0

    async def send(self, request: LoadRequest, timeout_s: float) -> LoadOutcome:
        self.ids.append(request.request_id)
        self.under_way += 1
        self.most_under_way = max(self.most_under_way, self.under_way)
        await asyncio.sleep(0)
        self.under_way -= 1
        return LoadOutcome.COMPLETED

    def close(self) -> None:
        pass


@when("costs: {count:d} requests are sent by {callers:d} callers")
def send_counted(context: Any, count: int, callers: int) -> None:
    context.target = CountingTarget()
    load = CountedLoad(LoadPlan("x", 1.0, 0.0), count, context.target)
    assert asyncio.run(load.run(callers)) == count


@then("costs: the target got {count:d} different requests, {callers:d} at a time at most")
def got_counted(context: Any, count: int, callers: int) -> None:
    assert len(context.target.ids) == len(set(context.target.ids)) == count
    assert context.target.most_under_way == callers


@when("costs: this version took 90, 80 and 300 us and the other 100, 100 and 200 us")
def two_versions(context: Any) -> None:
    figures = {THIS: (90.0, 80.0, 300.0), OTHER: (100.0, 100.0, 200.0)}
    reports = {
        version: RouterCostReport(
            rounds_us={HopPath.DISPATCHER: {"dispatcher": rounds}}, profiles={}, uncompleted=0
        )
        for version, rounds in figures.items()
    }
    context.comparison = RouterCostComparison(reports=reports).as_text()


@then('costs: the comparison says "{expected}"')
def comparison(context: Any, expected: str) -> None:
    assert expected in context.comparison, context.comparison
