"""Steps on the platform folder's orders to servers."""

import asyncio
import json
import re

from behave import given, then, when
from gateway_world import HOST, free_port, make_record
from platform_folder_store_stand_in import wire

# isort: split
from header_names import HEADER_NAMES
from http_server_orders import HttpServerOrders

from indigoworks.common.address import Address
from indigoworks.common.clock import LoopClock
from indigoworks.ownership.key_grant import KeyGrant
from indigoworks.ownership.key_release import KeyRelease

LENGTH = re.compile(r"content-length: *(\d+)", re.IGNORECASE)
SHORT_S = 0.1
LONG_S = 30.0


class OrderServer:
    """Answers every order as the scenario says."""

    def __init__(self, behaviour: str) -> None:
        self.behaviour = behaviour
        self.orders: list[tuple[str, dict]] = []
        self.heads: list[str] = []
        self.connections = 0
        self.reset = asyncio.Event()

    async def start(self) -> Address:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        return Address(HOST, self._server.sockets[0].getsockname()[1])

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            body = await reader.readexactly(int(LENGTH.search(head)[1]))
            self.heads.append(head)
            self.orders.append((head.split("\r\n")[0], json.loads(body)))
            await self._answer(writer)
            if self.behaviour == "never answers":
                await reader.read(1)
        except ConnectionResetError:
            self.reset.set()
        except asyncio.CancelledError:
            pass
        finally:
            writer.close()

    async def _answer(self, writer) -> None:
        verb, _, answer = self.behaviour.partition(" ")
        status, _, answering_id = answer.partition(" as ")
        if verb == "answers":
            handover = f"{HEADER_NAMES.handover}: h-{len(self.orders)}\r\n"
            named = (
                f"{HEADER_NAMES.answering_server_id}: {answering_id}\r\n" if answering_id else ""
            )
            head = f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n{handover}{named}\r\n"
            writer.write(head.encode())
            await writer.drain()


@given("a platform folder server that {behaviour}")
def a_server(context, behaviour):
    async def run():
        context.platform_server = OrderServer(behaviour)
        if behaviour == "does not listen":
            return Address(HOST, free_port())
        return await context.platform_server.start()

    context.platform_record = make_record("i-1", context.run_async(run()))
    context.platform_orders = HttpServerOrders(HEADER_NAMES, LoopClock())


def may_send():
    return True


def timeout_s(context):
    return SHORT_S if context.platform_server.behaviour == "never answers" else LONG_S


@when("the platform folder sends a grant")
def send_grant(context):
    grant = KeyGrant(0, 65535, 7, 3.0)
    work = context.platform_orders.grant(
        context.platform_record, grant, timeout_s(context), lambda: True
    )
    context.platform_outcome = context.run_async(work)


@when("the platform folder sends a grant with a handover, then a release")
def send_both(context):
    async def run():
        orders, record = context.platform_orders, context.platform_record
        granted = await orders.grant(record, KeyGrant(16, 31, 12, 2.5, "5c0e"), LONG_S, may_send)
        return granted, await orders.release(record, KeyRelease(16, 23, 13), LONG_S, may_send)

    context.platform_outcomes = context.run_async(run())


@then("the platform folder's orders are done, and the release brings the handover")
def both_done(context):
    assert [each.result.name for each in context.platform_outcomes] == ["DONE", "DONE"]
    assert context.platform_outcomes[1].handover == "h-2"


@then('the platform folder\'s order was answered by "{server_id}"')
def answered_by(context, server_id):
    assert context.platform_outcome.answering_id == server_id, context.platform_outcome


@then("the platform folder server read both under the platform's names, on 2 connections")
def read_both(context):
    server = context.platform_server
    keys = {wire("from"): 16, wire("toVersion"): 31, wire("fence"): 12}
    assert server.orders == [
        ("POST /grant HTTP/1.1", {**keys, wire("hold_time"): 2500, "handover": "5c0e"}),
        (
            "POST /release HTTP/1.1",
            {wire("from"): 16, wire("toVersion"): 23, wire("fence"): 13},
        ),
    ], server.orders
    assert server.connections == 2
    for head in server.heads:
        assert f"{HEADER_NAMES.server_id}: i-1\r\n".lower() in head.lower(), head


@then("the platform folder's order ends as {name}")
def ends_as(context, name):
    assert context.platform_outcome.result.name == name, context.platform_outcome


@then("the platform folder server's connection is reset")
def is_reset(context):
    context.run_async(context.platform_server.reset.wait())
