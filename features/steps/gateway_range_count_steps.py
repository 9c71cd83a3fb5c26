"""Steps on the number of ranges of a table of owners."""

from behave import given, then, when
from gateway_balancer_steps import load_of, window

from indigoworks.ownership.load_balancer import LoadBalancer
from indigoworks.ownership.ownership_table import KEY_COUNT
from indigoworks.ownership.server_capacity import ServerCapacity
from indigoworks.ownership.table_editor import first_table, with_moves, without_former

SAMPLES = 600
FEW_KEYS = 200


@given("a keyed service whose load is {load}")
def with_load(context, load):
    keys = {
        "none": [],
        "on few keys": [1000 + context.random.randrange(FEW_KEYS) for _ in range(SAMPLES)],
        "even": [KEY_COUNT * each // SAMPLES for each in range(SAMPLES)],
    }
    context.range_window = window(keys[load])


@when("its {count:d} servers are replaced one by one {times:d} times")
@when("its {count:d} servers are replaced one by one {times:d} time")
def replaced(context, count, times):
    """The new server starts first; the old one's keys have all moved before the next goes."""
    names = [f"s{number}" for number in range(count)]
    table = first_table("shop", names, [2] * count)
    for number in range(count * times):
        leaver = names.pop(0)
        names.append(f"s{count + number}")
        stayers = [ServerCapacity(each, 2, 20.0) for each in names]
        balancer = LoadBalancer(table, context.range_window)
        moved = with_moves(table, balancer.drain_moves({leaver: "leaving"}, stayers))
        table = without_former(moved, moved.ranges)
    context.range_names, context.range_table = names, table


@then("the table of owners has at most {most:d} ranges for all keys")
def few(context, most):
    ranges = context.range_table.ranges
    assert {each.server_id for each in ranges} <= set(context.range_names), ranges
    assert sum(each.width for each in ranges) == KEY_COUNT, ranges
    assert len(ranges) <= most, len(ranges)


@then("the table of owners leaves no server more than half of the load")
def spread(context):
    table, made = context.range_table, context.range_window
    loads = [load_of(table, made, each) for each in context.range_names]
    assert max(loads) <= SAMPLES / 2, loads
