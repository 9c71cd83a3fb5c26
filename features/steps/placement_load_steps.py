"""Steps of placement by measured load."""

from typing import Any

from behave import given, then, when

from indigoworks.controller.placement.key_space_split import split_key_space
from indigoworks.controller.placement.range_weights import RangeWeights
from indigoworks.controller.placement.rebalance import next_move
from indigoworks.controller.placement.server_weights import ServerWeights
from indigoworks.controller.rebalancer import threshold_of
from indigoworks.router.range_loads import RangeLoads
from indigoworks.settings.placement_settings import PlacementSettings
from indigoworks.wire.control_pb2 import Server

THRESHOLD = 1.15
MAX_MOVES = 16


class _Clock:
    def __init__(self) -> None:
        self.now_s = 100.0

    def now(self) -> float:
        return self.now_s


@given("placement of {ranges:d} ranges of equal width on {count:d} servers of {slots:d} slots")
def equal_widths(context: Any, ranges: int, count: int, slots: int) -> None:
    context.servers = [Server(name=f"s{number}", slots=slots) for number in range(count)]
    context.records = list(split_key_space("catalogue", ranges))
    for number, record in enumerate(context.records):
        record.owner = f"s{number % count}"


@when(
    "the placement load of every range of the first server is {hot:g} slots and of others {cold:g}"
)
def set_loads(context: Any, hot: float, cold: float) -> None:
    context.loads = {
        (each.service, each.start): hot if each.owner == "s0" else cold for each in context.records
    }


@then("placement by width moves nothing")
def nothing_by_width(context: Any) -> None:
    board = ServerWeights(context.servers, context.records)
    assert next_move(board, context.records, THRESHOLD) is None


@then("placement by load begins with the first server and ends with no server at twice the least")
def moves_by_load(context: Any) -> None:
    weights = RangeWeights(context.records, context.loads)
    sources: list[str] = []
    for _ in range(MAX_MOVES):
        board = ServerWeights(context.servers, context.records, weights)
        move = next_move(board, context.records, THRESHOLD)
        if move is None:
            break
        sources.append(move[0].owner)
        move[0].owner = move[1]
    assert sources[0] == "s0", sources
    densities = [board.density(each.name) for each in context.servers]
    assert max(densities) < 2 * min(densities), densities


@then("the placement threshold is {expected:g}")
def check_threshold(context: Any, expected: float) -> None:
    weights = RangeWeights(context.records, context.loads)
    placement = PlacementSettings(16, 60.0, "availability", THRESHOLD)
    assert threshold_of(placement, weights, context.servers) == expected


@given("a placement meter of loads")
def meter(context: Any) -> None:
    context.clock = _Clock()
    context.meter = RangeLoads(context.clock)


@when("a placement request holds a slot for {busy_s:g} s")
def hold(context: Any, busy_s: float) -> None:
    context.meter.add("catalogue", 0, busy_s)


@then("the placement meter reports {expected:g} busy slots")
def reports(context: Any, expected: float) -> None:
    assert [each.busy_slots for each in context.meter.report()] == [expected]


@then("the placement meter reports nothing again at once")
def reports_nothing(context: Any) -> None:
    assert context.meter.report() == []


@then("the placement meter reports less than {limit:g} busy slots {later_s:g} s later")
def decays(context: Any, limit: float, later_s: float) -> None:
    context.clock.now_s += later_s
    reported = context.meter.report()
    assert all(0 < each.busy_slots < limit for each in reported), reported
