"""Steps on the relay between processes, within one event loop."""

import asyncio
from random import Random

from behave import given, then, when

from indigoworks.common.address import Address
from indigoworks_lab.client.polling import becomes_true
from indigoworks_lab.launcher.free_ports import LOOPBACK, FreePorts
from indigoworks_lab.link_relay.flow_faults import FlowFaults
from indigoworks_lab.link_relay.flow_table import FlowTable
from indigoworks_lab.link_relay.link_relay import LinkRelay
from indigoworks_lab.link_relay.relay_destination import RelayDestination

SIZE_BYTES = 3
HELD_TIMEOUT_S = 30.0
"""Bound on waiting; it ends a run that hangs and measures nothing."""

ECHO = "echo"
CALLER = ""
"""Name that the relay gives to a connection of none of its siblings."""


class RelayedEcho:
    """An echo, a relay in front of it, and one connection through it."""

    def __init__(self):
        ports = FreePorts(Random())
        self.listen = Address(LOOPBACK, ports.next_port())
        target = Address(LOOPBACK, ports.next_port())
        self.target = target
        self.flows = FlowTable()
        self.relay = LinkRelay([RelayDestination(ECHO, self.listen, target)], self.flows)
        self.received = asyncio.Queue()

    async def start(self):
        await asyncio.start_server(self._accept, self.target.host, self.target.port)
        await self.relay.start()
        self.reader, self.writer = await self.connect()
        # Both ends are connected before a fault is put in.
        self.writer.write(b"abc")
        assert await self.reader.readexactly(SIZE_BYTES) == b"abc"
        await self.received.get()

    async def connect(self):
        return await asyncio.open_connection(self.listen.host, self.listen.port)

    def _accept(self, reader, writer):
        self._echoing = asyncio.ensure_future(self._echo(reader, writer))

    async def _echo(self, reader, writer):
        while piece := await reader.read(SIZE_BYTES):
            self.received.put_nowait(piece)
            writer.write(piece)

    @property
    def to_echo(self):
        return self.flows.between(CALLER, ECHO)

    @property
    def from_echo(self):
        return self.flows.between(ECHO, CALLER)


async def held(flow):
    """Wait until the flow has held bytes back."""

    async def has_held():
        return flow.counts.held_pieces > 0

    assert await becomes_true(has_held, HELD_TIMEOUT_S), "the flow held nothing back"


@given("a relay in front of an echo")
def start_echo(context):
    async def start():
        context.echo = RelayedEcho()
        await context.echo.start()

    context.run_async(start())


@when('the relay\'s flow to the echo is cut and "{text}" is sent')
def cut_requests(context, text):
    async def send():
        context.echo.to_echo.set_faults(FlowFaults(is_cut=True))
        context.echo.writer.write(text.encode())
        await held(context.echo.to_echo)
        assert context.echo.received.empty()

    context.run_async(send())


@when('the relay\'s flow from the echo is cut and "{text}" is sent')
def cut_answers(context, text):
    async def send():
        context.echo.from_echo.set_faults(FlowFaults(is_cut=True))
        context.echo.writer.write(text.encode())
        await held(context.echo.from_echo)

    context.run_async(send())


@when("the relay's flow to the echo is cut so that connections are refused")
def refuse_connections(context):
    context.echo.to_echo.set_faults(FlowFaults(is_cut=True, refuses_new=True))


@when("the relay's flow to the echo is delayed by {delay_s:g} s")
def delay_requests(context, delay_s):
    context.echo.to_echo.set_faults(FlowFaults(delay_s=delay_s))


@when("the relay's flows are healed")
def heal(context):
    for flow in (context.echo.to_echo, context.echo.from_echo):
        flow.set_faults(FlowFaults())


@then('the relay\'s echo has received "{text}"')
def echo_received(context, text):
    assert context.run_async(context.echo.received.get()) == text.encode()


@then('the relay\'s caller receives "{text}"')
def caller_receives(context, text):
    received = context.run_async(context.echo.reader.readexactly(SIZE_BYTES))
    assert received == text.encode(), received


@then("a new connection to the relay ends without an answer")
def connection_ends(context):
    async def read():
        reader, writer = await context.echo.connect()
        try:
            return await reader.read()
        except ConnectionResetError:
            return b""
        finally:
            writer.close()

    assert context.run_async(read()) == b""
    assert context.echo.to_echo.counts.refused_connections == 1


@then("the relay's caller receives what it sends, {delay_s:g} s later or more")
def receives_later(context, delay_s):
    async def call():
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        context.echo.writer.write(b"abc")
        assert await context.echo.reader.readexactly(SIZE_BYTES) == b"abc"
        return loop.time() - sent_s

    # A lower bound, which a busy machine cannot break; there is no upper one.
    assert context.run_async(call()) >= delay_s
