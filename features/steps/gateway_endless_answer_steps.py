"""Steps on answers without end, against servers on real sockets."""

import asyncio
import json
import os
import sys
import time
from pathlib import Path
from types import SimpleNamespace
from unittest.mock import patch

from behave import given, then, when
from gateway_endless_servers import EndlessServer
from gateway_scripted_server import BODY, NAMES, ScriptedServer
from gateway_world import HOST, Caller, ask, make_record, until
from http_server_orders import HttpServerOrders

from indigoworks.backend.errors import BackendAnswerLost
from indigoworks.backend.http_message import HttpMessage
from indigoworks.backend.http_sender import HttpSender
from indigoworks.common.address import Address
from indigoworks.common.bounded_http_connection import MAX_INTERIM, BoundedHttpConnection
from indigoworks.common.clock import LoopClock
from indigoworks.common.exceeded_responses import EXCEEDED_RESPONSES
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.forwarding.forward_client import ForwardClient
from indigoworks.forwarding.forward_failure import ForwardFailure
from indigoworks.forwarding.forward_request import ForwardRequest
from indigoworks.ownership.key_grant import KeyGrant
from indigoworks.ownership.order_outcome import OrderResult

MB = 1_000_000
TURN_S = 0.05
ANSWER_S = 10.0
STEPS = Path(__file__).parent
ROOT = STEPS.parents[1]


def make_server(context, way, **fields):
    server = EndlessServer(way, **fields)
    context.add_cleanup(server.stop)
    context.endless = server
    return server


@given('a gateway server "{server_id}" that sends {way} without end')
def endless_server(context, server_id, way, **fields):
    server = make_server(context, way, **fields)
    context.gateway.platform.servers.put(make_record(server_id, server.address))


@given('a gateway server "{server_id}" that sends {way} without end, {delay_s:g} s later')
def late_endless_server(context, server_id, way, delay_s):
    endless_server(context, server_id, way, delay_s=delay_s)


@when("a gateway caller asks while answers have no end")
def asks(context):
    context.endless_answer = context.run_async(ask(context.gateway))


@then("the gateway's answer is that the request may have run")
def may_have_run(context):
    assert context.endless_answer.status == 502, context.endless_answer


@then("the gateway's answer is the endless server's \"{text}\"")
def is_answer(context, text):
    answer = context.endless_answer
    assert (answer.status, answer.body.decode()) == (200, text), answer


@then("the endless server got 1 request, and its connection was ended")
def one_request(context):
    context.run_async(until(lambda: context.endless.ended == 1))
    assert context.endless.requests == 1, context.endless.requests


@then("the endless server sent at most {mib:d} MiB")
def sent_at_most(context, mib):
    assert context.endless.sent <= mib * 2**20, context.endless.sent


@then('the gateway named 1 response beyond the bound "{bound}" of that server')
def named(context, bound):
    address = str(context.endless.address)
    found = {key: count for key, count in EXCEEDED_RESPONSES.counts.items() if key[0] == address}
    assert found == {(address, bound): 1}, found


@when("gateway callers ask until the endless server got a request")
def asks_until(context):
    async def run():
        answers = [await ask(context.gateway)]
        while not context.endless.requests:
            answers.append(await ask(context.gateway))
        return answers

    context.endless_answers = context.run_async(run())


@then('all of these gateway answers are those of server "a"')
def all_of_a(context):
    assert context.endless.requests
    for each in context.endless_answers:
        assert (each.status, each.body) == (200, BODY), each


@given("an endless {sender} that sends {way}")
def endless_sender(context, sender, way):
    make_server(context, way)


@when("the endless server of an order is asked")
def ask_order(context):
    orders = HttpServerOrders(NAMES, LoopClock())
    record = make_record("e", context.endless.address)
    grant = KeyGrant(0, 9, 1, 3.0)
    asked = orders.grant(record, grant, ANSWER_S, lambda: True)
    context.endless_result = context.run_async(asked)


@when("the endless store is asked")
def ask_store(context):
    sender = HttpSender(LoopClock(), 1)
    asked = sender.send(context.endless.address, lambda: HttpMessage("GET", "/rows"), ANSWER_S)
    context.endless_result = context.run_async(asked)


@when("the endless peer is asked")
def ask_peer(context):
    client = ForwardClient(LoopClock())
    peer = PeerAddress("n2", "b2", "z1", context.endless.address)
    request = ForwardRequest("r1", "GET", HOST, "/a", (), b"", None, None, 0.0, HOST, "shop", 1)
    context.endless_result = context.run_async(client.send(peer, request, ANSWER_S))


@then("the endless server of an order counts as one that gave no answer")
def order_lost(context):
    assert context.endless_result.result is OrderResult.UNANSWERED, context.endless_result


@then("the endless store counts as one that gave no answer")
def store_lost(context):
    assert isinstance(context.endless_result.err(), BackendAnswerLost), context.endless_result


@then("the endless peer counts as one that gave no answer")
def peer_lost(context):
    assert context.endless_result is ForwardFailure.NO_REPLY, context.endless_result


@when("the endless store is asked while turns of the event loop are counted")
def ask_store_with_turns(context):
    context.head_turns = []
    turn = 0

    async def count_turns():
        nonlocal turn
        while True:
            await asyncio.sleep(0)
            turn += 1

    def parse(connection, data):
        context.head_turns.append(turn)
        return parse_headers(connection, data)

    async def run():
        counting = asyncio.ensure_future(count_turns())
        sender = HttpSender(LoopClock(), 1)
        message = HttpMessage("GET", "/rows")
        await sender.send(context.endless.address, lambda: message, ANSWER_S)
        counting.cancel()

    parse_headers = BoundedHttpConnection._parse_headers
    with patch.object(BoundedHttpConnection, "_parse_headers", parse):
        context.run_async(run())


@then("each of its heads was read in a turn of its own")
def one_head_a_turn(context):
    turns = context.head_turns
    assert len(turns) == MAX_INTERIM + 1, turns
    assert len(set(turns)) == len(turns), turns


# ---- a process of its own ----


class BoundsProcess:
    """The process, and its measurements."""

    async def start(self, endless, other) -> None:
        ports = "+".join(str(each.address.port) for each in endless)
        paths = (str(ROOT), str(STEPS), str(ROOT / "platform"))
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(STEPS / "gateway_bounds_process.py"),
            f"{ports},{other.port}",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            env={**os.environ, "PYTHONPATH": os.pathsep.join(paths)},
        )
        port = int(await self.process.stdout.readline())
        self.world = SimpleNamespace(address=Address(HOST, port), next_id=0)

    async def measure(self):
        self.process.stdin.write(b"\n")
        return json.loads(await self.process.stdout.readline())


async def start_process(context, endless):
    other = ScriptedServer(["answers"])
    context.bounds = BoundsProcess()
    await context.bounds.start(endless, await other.start())
    for _ in range(20):
        await ask(context.bounds.world, target="/o/x")


def end_process(context):
    async def run():
        context.bounds.process.stdin.close()
        await context.bounds.process.wait()

    context.run_async(run())


@given("a gateway process with {count:d} servers that send {way} without end, and one that answers")
def bounds_process(context, count, way):
    endless = [make_server(context, way) for _ in range(count)]
    context.run_async(start_process(context, endless))
    context.add_cleanup(end_process, context)


@when("{count:d} callers ask the endless servers for {for_s:g} s, and one asks the other server")
def flood(context, count, for_s):
    world = context.bounds.world
    until_s = time.monotonic() + for_s

    async def ask_endless():
        statuses = []
        while time.monotonic() < until_s:
            statuses.append((await ask(world)).status)
        return statuses

    async def ask_other():
        caller = await Caller(world).open()
        answers = []
        while time.monotonic() < until_s:
            answers.append(await caller.ask(target="/o/x"))
            await asyncio.sleep(0.002)
        caller.close()
        return answers

    async def run():
        await context.bounds.measure()
        flooding = asyncio.gather(*(ask_endless() for _ in range(count)))
        context.other_answers = await ask_other()
        context.endless_statuses = await flooding
        context.measured = await context.bounds.measure()
        print(context.measured, len(context.other_answers))
        print(sorted(each for one in context.endless_statuses for each in one)[:3])

    context.run_async(run())


@then("the gateway process grew by at most {megabytes:d} MB")
def grew(context, megabytes):
    assert context.measured["growth"] <= megabytes * MB, context.measured


@then("no turn of the gateway process took more than 50 ms of processor time")
def turns(context):
    assert context.measured["turn_s"] <= TURN_S, context.measured


@then("each request to the other server was answered")
def others_answered(context):
    assert len(context.other_answers) > 10, len(context.other_answers)
    assert {each.status for each in context.other_answers} == {200}
    assert {each.body for each in context.other_answers} == {BODY}
