"""Steps on the single writes of a gateway's log."""

import json
import os
import select
import socket

from behave import given, then, when
from eliot import log_message
from gateway_log_steps import make_buffer

BUFFER_BYTES = 4 * 1024 * 1024
MESSAGE_BYTES = 1024 * 1024
LONG_LINES = 40


@given("a gateway line buffer whose reader sees each write by itself")
def packet_reader(context):
    writer, context.gateway_packet_reader = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    context.add_cleanup(writer.close)
    context.add_cleanup(context.gateway_packet_reader.close)
    writer.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
    make_buffer(context, writer.fileno())


@when("{count:d} gateway lines of {size:d} bytes and one of {large:d} bytes are written")
def write_lines(context, count, size, large):
    context.gateway_added = count + 1
    for number in range(count + 1):
        length = large if number == count // 2 else size
        log_message(message_type="leader:seen", number=number, text="x" * length)
    context.gateway_writes = []
    reader = context.gateway_packet_reader
    reader.setblocking(False)
    while sum(each.count(b"\n") for each in context.gateway_writes) < context.gateway_added:
        context.gateway_lines.flush()
        try:
            while True:
                context.gateway_writes.append(reader.recv(MESSAGE_BYTES))
        except BlockingIOError:
            continue


@then("each gateway write holds whole lines")
def whole_lines(context):
    assert all(each.endswith(b"\n") for each in context.gateway_writes)
    for each in context.gateway_writes:
        for line in each.splitlines():
            json.loads(line)


@then("no gateway write of several lines is larger than a pipe takes at once")
def small_writes(context):
    sizes = [len(each) for each in context.gateway_writes if each.count(b"\n") > 1]
    assert sizes and max(sizes) <= select.PIPE_BUF, sizes


@then("the gateway writes hold all lines in order")
def all_lines(context):
    lines = b"".join(context.gateway_writes).splitlines()
    numbers = [json.loads(line)["number"] for line in lines]
    assert numbers == list(range(context.gateway_added)), numbers


@when(
    "gateway lines of {size:d} bytes fill the pipe, and its reader takes {count:d} bytes at a time"
)
def long_lines(context, size, count):
    for number in range(LONG_LINES):
        log_message(message_type="leader:seen", number=number, text="x" * size)
    context.gateway_lines.flush()
    assert context.gateway_lines.held_bytes > 0
    os.set_blocking(context.gateway_reader, False)
    data = b""
    try:
        while True:
            data += os.read(context.gateway_reader, count)
            context.gateway_lines.flush()
    except BlockingIOError:
        context.gateway_data = data
    os.close(context.gateway_reader)


@then("the gateway pipe gave every long line whole and in order")
def long_lines_whole(context):
    numbers = [json.loads(line)["number"] for line in context.gateway_data.splitlines()]
    assert numbers == list(range(LONG_LINES)), numbers
