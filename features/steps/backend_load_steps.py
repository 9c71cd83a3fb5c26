"""Steps of the load tool, on virtual time."""

import asyncio
from dataclasses import replace
from random import Random
from typing import Any

import detangle
from behave import given, then, when

from indigoworks.backend.http_response import HttpResponse
from indigoworks.common.clock import LoopClock
from indigoworks_lab.backend.answer_body import AnswerBody
from indigoworks_lab.load import router_target
from indigoworks_lab.load.hop_cost_report import HopCostReport
from indigoworks_lab.load.hop_path import HopPath
from indigoworks_lab.load.latency_summary import LatencySummary
from indigoworks_lab.load.load_outcome import LoadOutcome
from indigoworks_lab.load.load_plan import LoadPlan
from indigoworks_lab.load.load_report import LoadReport
from indigoworks_lab.load.load_request import LoadRequest
from indigoworks_lab.load.open_loop import OpenLoop
from indigoworks_lab.load.path_round import PathRound
from indigoworks_lab.load.request_source import RequestSource
from indigoworks_lab.load.zipf_keys import ZipfKeys

ANSWER_S = 0.01


class StallingTarget:
    """Answers after ANSWER_S, and nothing while it stalls."""

    def __init__(self, stall_start_s: float, stall_end_s: float) -> None:
        self._start_s = stall_start_s
        self._end_s = stall_end_s
        self.received = 0

    async def send(self, request: LoadRequest, timeout_s: float) -> LoadOutcome:
        self.received += 1
        now_s = asyncio.get_running_loop().time()
        if self._start_s <= now_s < self._end_s:
            await asyncio.sleep(self._end_s - now_s)
        await asyncio.sleep(ANSWER_S)
        return LoadOutcome.COMPLETED

    def close(self) -> None:
        pass


@given("a load of 100 requests per second for 10 s")
def load_plan(context: Any) -> None:
    context.plan = LoadPlan("catalogue", 100.0, 10.0, warm_up_s=0.0, seed=context.seed)


@when("it is sent to a target that answers nothing from second {start:d} to second {end:d}")
def send_to_stalling(context: Any, start: int, end: int) -> None:
    async def run() -> None:
        start_s = asyncio.get_running_loop().time()
        context.target = StallingTarget(start_s + start, start_s + end)
        context.report = await OpenLoop(context.plan, context.target, LoopClock()).run()

    detangle.run(run)


@then("the median is that of the answers and p99 that of the stall")
def tail_is_shown(context: Any) -> None:
    # Due evenly over a stall of 2 s in 10 s: 1 in 20 waits longer than 1.5 s.
    completed = context.report.completed
    assert completed.p50_ms < 20.0, completed
    assert 1500.0 < completed.p99_ms < 2000.0, completed
    assert completed.p99_ms < completed.max_ms < 2100.0, completed


@then("no offered request is missing from the counts")
def none_missing(context: Any) -> None:
    report = context.report
    assert report.offered == context.target.received == report.completed.count
    assert 900 < report.offered < 1100, report.offered


@then("two sources of one seed give the same 200 requests and gaps")
def same_requests(context: Any) -> None:
    context.plan = LoadPlan("catalogue", 100.0, 10.0, seed=context.seed)
    assert drawn(context.plan) == drawn(context.plan)


@then("a source of another seed gives other ones")
def other_requests(context: Any) -> None:
    assert drawn(context.plan) != drawn(replace(context.plan, seed=context.seed + 1))


def drawn(plan: LoadPlan) -> list[Any]:
    source = RequestSource(plan)
    return [(source.next_gap_s(), source.next_request()) for _ in range(200)]


@then(
    "of {draws:d} draws over {keys:d} keys with exponent {exponent:d} "
    "the first key has about its share"
)
def skewed(context: Any, draws: int, keys: int, exponent: int) -> None:
    source = ZipfKeys(keys, exponent, Random(context.seed))
    found = sum(source.draw() == 0 for _ in range(draws))
    expected = draws / sum(1 / (number + 1) ** exponent for number in range(keys))
    assert 0.7 * expected < found < 1.3 * expected, (found, expected)


@when("a router answers a load's request with {body}")
def router_answers(context: Any, body: str) -> None:
    context.request = LoadRequest("id-1", "catalogue", "key-1", "group", "POST", b"")
    context.outcome = router_target._outcome(context.request, router_answer(context.request, body))


def router_answer(request: LoadRequest, body: str) -> HttpResponse:
    own = AnswerBody(
        server="server-1",
        incarnation="run-1",
        service=request.service,
        token=1,
        request_id=request.request_id,
        method=request.method,
        key=request.key,
        value="",
        entry_count=1,
        recent_entries=(request.request_id,),
    )
    whole = own.model_dump_json().encode()
    completed = (("Indigoworks-Outcome", "completed"),)
    return {
        "its own whole answer": HttpResponse(200, completed, whole),
        "half of its answer": HttpResponse(200, completed, whole[: len(whole) // 2]),
        "the answer of another key": HttpResponse(
            200, completed, own.model_copy(update={"key": "key-2"}).model_dump_json().encode()
        ),
        "the answer of another id": HttpResponse(
            200, completed, own.model_copy(update={"request_id": "2"}).model_dump_json().encode()
        ),
        "a not-run outcome": HttpResponse(503, (("Indigoworks-Outcome", "not-run"),), b"{}"),
        "an unknown outcome": HttpResponse(504, (("Indigoworks-Outcome", "unknown"),), b"{}"),
    }[body]


@then('the load counts it as "{outcome}"')
def load_counts(context: Any, outcome: str) -> None:
    assert context.outcome == LoadOutcome(outcome), context.outcome


def path_round(p50_ms: float) -> PathRound:
    latency = LatencySummary(count=9, p50_ms=p50_ms, p99_ms=50, p999_ms=60, max_ms=70)
    report = LoadReport(
        measured_s=1.0,
        offered=10,
        outcomes={LoadOutcome.COMPLETED: 9, LoadOutcome.UNKNOWN: 1},
        goodput_per_s=9.0,
        completed=latency,
        start_lag=latency,
    )
    return PathRound(open_loop=report, closed_loop=report, cpu_us_per_request={"router": 5.0})


@given("rounds of the three paths with p50 of {direct}, of {dispatcher} and of {forwarded} ms")
def path_rounds(context: Any, direct: str, dispatcher: str, forwarded: str) -> None:
    texts = (direct, dispatcher, forwarded)
    rounds = {
        path: [path_round(float(p50)) for p50 in text.split()]
        for path, text in zip(HopPath, texts, strict=True)
    }
    context.costs = HopCostReport.of(rounds)


@then("the hops cost {first:g} and {second:g} ms at p50")
def hops_cost(context: Any, first: float, second: float) -> None:
    assert [hop.p50_ms for hop in context.costs.hops] == [first, second], context.costs.hops


@then("a request that was not completed shows in the figures of its path")
def uncompleted_shows(context: Any) -> None:
    # One in each of two loops of three rounds.
    assert [figures.uncompleted for figures in context.costs.paths.values()] == [6, 6, 6]
