"""Steps on the buffer of log lines."""

import json
import os

from behave import given, then, when
from eliot import add_destinations, remove_destination

from indigoworks.common.logging.line_buffer import MAX_BUFFERED_BYTES, LineBuffer
from indigoworks.common.logging.line_rate_limiter import SUCCESS_LINES_PER_S, LineRateLimiter
from indigoworks_lab.simulation.core.manual_clock import ManualClock

TEXT = "x" * 900
SOME_BYTES = 3 * 4096


@given("a gateway line buffer on a pipe that nobody reads")
def a_buffer(context):
    context.gateway_reader, context.gateway_writer = os.pipe()
    context.add_cleanup(os.close, context.gateway_writer)
    make_buffer(context, context.gateway_writer)
    context.gateway_added = 0
    context.gateway_data = b""


def make_buffer(context, descriptor):
    """Make a buffer whose clock stands still, and let it take what is logged."""
    context.gateway_log_clock = ManualClock()
    context.gateway_rates = LineRateLimiter(context.gateway_log_clock)
    context.gateway_lines = LineBuffer(descriptor, "n1", context.gateway_rates)
    drop_earlier_messages(context)
    add_destinations(context.gateway_lines.add)
    context.add_cleanup(remove_destination, context.gateway_lines.add)
    context.gateway_lines.flush()


def drop_earlier_messages(context):
    """Eliot keeps messages for the first destination: they must not come into this log."""
    ignore = list().append
    add_destinations(ignore)
    context.add_cleanup(remove_destination, ignore)


def pass_second(context):
    context.gateway_log_clock._now_s += 1.0


def add_lines(context, count):
    for number in range(count):
        if number % SUCCESS_LINES_PER_S == 0:
            # The bound of lines in a second is not what drops any here.
            pass_second(context)
            context.gateway_rates.end_second()
        message = {"message_type": "m", "number": context.gateway_added, "text": TEXT}
        context.gateway_lines.add({**message, "task_uuid": "u", "task_level": [1]})
        context.gateway_added += 1


@when("more gateway lines are added than the pipe and the buffer take")
def too_many(context):
    for _ in range(10):
        add_lines(context, MAX_BUFFERED_BYTES // len(TEXT) // 3)
        pass_second(context)
        context.gateway_lines.flush()
        # Some room in the pipe, so that the next block is written in part.
        context.gateway_data += os.read(context.gateway_reader, SOME_BYTES)
    context.gateway_lines.flush()


@then("the gateway line buffer holds no more than its limit")
def bounded(context):
    held = sum(len(each.data) for each in context.gateway_lines._lines)
    assert 0 < held == context.gateway_lines.held_bytes <= MAX_BUFFERED_BYTES, held
    assert context.gateway_added * len(TEXT) > 2 * MAX_BUFFERED_BYTES


@when("the gateway pipe is read to its end")
def read_all(context):
    os.set_blocking(context.gateway_reader, False)
    data = context.gateway_data
    while True:
        try:
            data += os.read(context.gateway_reader, 2**20)
        except BlockingIOError:
            before = len(data)
            pass_second(context)
            context.gateway_lines.flush()
            try:
                data += os.read(context.gateway_reader, 2**20)
            except BlockingIOError:
                assert len(data) == before
                break
    os.close(context.gateway_reader)
    context.gateway_data = data


@then("the gateway lines read are whole, in order, and the dropped ones are counted")
def whole_lines(context):
    assert context.gateway_data.endswith(b"\n")
    messages = [json.loads(line) for line in context.gateway_data.splitlines()]
    numbers = [each["number"] for each in messages if each["message_type"] == "m"]
    dropped = sum(each["lines"] for each in messages if each["message_type"] == "log:dropped")
    assert numbers == sorted(set(numbers))
    assert dropped > 0 and len(numbers) + dropped == context.gateway_added, dropped
    assert all(each["process"] == "n1" and "task_uuid" not in each for each in messages)


@when("the gateway pipe's reader goes away")
def reader_gone(context):
    os.close(context.gateway_reader)


@then("gateway lines are added and flushed without an error")
def no_error(context):
    for _ in range(3):
        add_lines(context, 10)
        context.gateway_lines.flush()
    assert not context.gateway_lines._lines
