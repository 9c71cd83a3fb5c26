"""Steps on the connections that carry the platform folder's grants."""

import asyncio
import re

from behave import given, then, when
from gateway_world import HOST, make_record
from platform_folder_order_steps import LENGTH

# isort: split
from header_names import HEADER_NAMES
from http_server_orders import HttpServerOrders

from indigoworks.common.address import Address
from indigoworks.ownership.key_grant import KeyGrant
from indigoworks_lab.simulation.core.manual_clock import ManualClock

ID = re.compile(rf"{HEADER_NAMES.request_id}: *(\S+)", re.IGNORECASE)
QUOTED = re.compile(r'"([^"]*)"')
TIMEOUT_S = 0.5
GRANT_KEYS = 10


class ScriptedServer:
    """Answers each order by the next of `scripts`, over however many connections they come."""

    def __init__(self, scripts):
        self._scripts = list(scripts)
        self._ids = []
        self.connections = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        return Address(HOST, self._server.sockets[0].getsockname()[1])

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                await reader.readexactly(int(LENGTH.search(head)[1]))
                self._ids.append(ID.search(head)[1])
                answers = self._scripts.pop(0).split(", ")
                writer.write("".join(map(self._encode, answers)).encode())
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _encode(self, answer):
        status, _, whose = answer.partition(" with ")
        returned = {
            "": None,
            "its id": self._ids[-1],
            "the id before": self._ids[-2] if len(self._ids) > 1 else None,
            "another id": "0000",
        }[whose]
        named = "" if returned is None else f"{HEADER_NAMES.request_id}: {returned}\r\n"
        return f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n{named}\r\n"


@given("platform folder orders that are answered: {scripts}")
def a_server(context, scripts):
    async def run():
        context.scripted_server = ScriptedServer(QUOTED.findall(scripts))
        return await context.scripted_server.start()

    context.scripted_record = make_record("i-1", context.run_async(run()))


@when("the platform folder sends it {count:d} grants")
def send_grants(context, count):
    """No time passes in between, so that a connection is not given up for its age."""

    async def run():
        orders = HttpServerOrders(HEADER_NAMES, ManualClock())
        results = []
        for number in range(count):
            first = number * GRANT_KEYS
            grant = KeyGrant(first, first + GRANT_KEYS - 1, 7, 3.0)
            outcome = await orders.grant(context.scripted_record, grant, TIMEOUT_S, lambda: True)
            results.append(outcome.result.name)
        return results

    context.scripted_results = context.run_async(run())


@then('the platform folder\'s grants end as "{results}", on {count:d} connections')
def end_on(context, results, count):
    end_as(context, results)
    assert context.scripted_server.connections == count, context.scripted_server.connections


@then('the platform folder\'s grants end as "{results}"')
def end_as(context, results):
    assert context.scripted_results == results.split(", "), context.scripted_results
