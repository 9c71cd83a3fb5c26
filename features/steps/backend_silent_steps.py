"""Steps on connections of a pool that go silent."""

import asyncio
import contextlib

from behave import given, then, when
from result import Ok

from indigoworks.backend.http_message import HttpMessage
from indigoworks.backend.http_sender import HttpSender
from indigoworks.common.address import Address
from indigoworks.common.clock import LoopClock

HOST = "127.0.0.1"
UNANSWERED_S = 0.2


class CountingServer:
    """Answers with the number of the connection; "/silent" gets none, "/held" waits."""

    def __init__(self):
        self.connections = 0
        self.three_held = asyncio.Event()
        self.go_on = asyncio.Event()

    async def start(self):
        server = await asyncio.start_server(self._serve, HOST, 0)
        return Address(HOST, server.sockets[0].getsockname()[1])

    async def _serve(self, reader, writer):
        self.connections += 1
        if self.connections == 3:
            self.three_held.set()
        body = str(self.connections).encode()
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while head := await reader.readuntil(b"\r\n\r\n"):
                if head.startswith(b"GET /silent"):
                    await asyncio.Event().wait()
                if head.startswith(b"GET /held"):
                    await self.go_on.wait()
                head = b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(body)
                writer.write(head + body)


@given("a backend server that leaves the first request unanswered while two others rest")
def step_counting(context):
    async def run():
        server = context.counting = CountingServer()
        context.counting_address = await server.start()
        context.counting_sender = HttpSender(LoopClock(), 8)
        held = [asyncio.ensure_future(ask(context, "/held")) for _ in range(3)]
        await server.three_held.wait()
        server.go_on.set()
        await asyncio.gather(*held)
        context.unanswered = asyncio.ensure_future(ask(context, "/silent", UNANSWERED_S))

    context.run_async(run())


async def ask(context, path, timeout_s=30.0):
    message = HttpMessage("GET", path, (), b"")
    result = await context.counting_sender.send(
        context.counting_address, lambda: message, timeout_s
    )
    return int(result.unwrap().body) if isinstance(result, Ok) else None


@when("the request to the silent backend server has timed out, and another one is sent")
def step_timed_out(context):
    async def run():
        assert await context.unanswered is None
        context.counted = await ask(context, "/next")

    context.run_async(run())


@when("a resting connection answers meanwhile, the request times out, and another one is sent")
def step_answers(context):
    async def run():
        context.answered = await ask(context, "/meanwhile")
        assert await context.unanswered is None
        context.counted = await ask(context, "/next")

    context.run_async(run())


@then("the backend server gets it over a new connection")
def step_new(context):
    assert context.counted == 4, context.counted


@then("the backend server gets it over the connection that answered")
def step_same(context):
    assert context.counted == context.answered, context.counted
