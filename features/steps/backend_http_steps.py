"""Steps of the HTTP adapters, against servers on loopback."""

import asyncio
import json
import socket
from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Any

from backend_scripted_server import ScriptedServer
from backend_steps import request
from behave import given, then, when
from result import Ok

from indigoworks.backend.granted_range import GrantedRange
from indigoworks.backend.http_backend_control import HttpBackendControl
from indigoworks.backend.http_backend_requests import HttpBackendRequests
from indigoworks.backend.lease_renewal import LeaseRenewal
from indigoworks.common.address import Address
from indigoworks.common.clock import LoopClock
from indigoworks.common.ring.key_hash import KEY_SPACE_MAX
from indigoworks_lab.backend.execution_outcome import ExecutionOutcome
from indigoworks_lab.backend.stand_in_faults import StandInFaults
from indigoworks_lab.backend.stand_in_http_server import StandInHttpServer
from indigoworks_lab.backend.stand_in_identity import StandInIdentity
from indigoworks_lab.backend.stand_in_profile import StandInProfile
from indigoworks_lab.backend.stand_in_server import StandInServer

LONG_S = 600.0
SHORT_S = 1.0
"""Deadline of requests that are to be left without an answer."""

CONTROL_TIMEOUT_S = 20.0
HIGH_START = KEY_SPACE_MAX - 2
FORGED = (("Indigoworks-Token", "99"), ("indigoworks-incarnation", "forged"))
HOP_BY_HOP = (("Connection", "X-Own-Hop"), ("X-Own-Hop", "1"), ("Keep-Alive", "1"))


@given("a stand-in back end over HTTP that owns the key space")
def start_stand_in(context: Any) -> None:
    async def start() -> None:
        clock = LoopClock()
        identity = StandInIdentity("server-1", "run-1", "catalogue", "zone-1")
        profile = StandInProfile(slots=1, connections=2, cold_requests=0)
        context.server = StandInServer(identity, profile, clock, Random(context.seed))
        context.shell = StandInHttpServer(context.server, clock)
        context.address = context.shell.listen("127.0.0.1", 0)
        context.control = HttpBackendControl(clock)
        context.requests = HttpBackendRequests(clock)
        status = (await context.control.read_status(context.address, CONTROL_TIMEOUT_S)).unwrap()
        context.renewal = LeaseRenewal(
            "run-1", 1, 1, status.clock_s + LONG_S, (GrantedRange(0, KEY_SPACE_MAX, 5),)
        )
        await renew(context, context.renewal)
        assert isinstance(context.sent, Ok), context.sent

    context.run_async(start())
    context.add_cleanup(lambda: context.run_async(stop(context)))


async def stop(context: Any) -> None:
    context.shell.stop_listening()
    await context.shell.close_connections()


async def renew(context: Any, renewal: LeaseRenewal) -> None:
    context.sent = await context.control.renew(context.address, renewal, CONTROL_TIMEOUT_S)


@given('a scripted server that answers "{first}" and then "{second}"')
def start_scripted_two(context: Any, first: str, second: str) -> None:
    start_scripted(context, [first, second])


@given('a scripted server that answers "{behaviour}"')
def start_scripted_one(context: Any, behaviour: str) -> None:
    start_scripted(context, [behaviour])
    context.remaining_s = SHORT_S if behaviour == "nothing in time" else LONG_S


def start_scripted(context: Any, behaviours: list[str]) -> None:
    async def start() -> None:
        context.scripted = ScriptedServer(behaviours)
        context.address = await context.scripted.start()
        context.requests = HttpBackendRequests(LoopClock())

    context.run_async(start())


@given("an address where nothing listens")
def unused_address(context: Any) -> None:
    # Bound and not listening: nobody else gets the port, and connections are refused.
    bound = socket.socket()
    bound.bind(("127.0.0.1", 0))
    context.add_cleanup(bound.close)
    context.address = Address("127.0.0.1", bound.getsockname()[1])
    context.requests = HttpBackendRequests(LoopClock())


@given('it has the fault "{name}"')
def set_ratio(context: Any, name: str) -> None:
    context.server.faults = StandInFaults(**{name: 1.0})


@given("all its slots are busy")
def take_slots(context: Any) -> None:
    context.run_async(context.server._slots.acquire())


@given("all its connections are taken")
def take_connections(context: Any) -> None:
    async def take() -> None:
        for _ in range(context.server.profile.connections):
            _, writer = await asyncio.open_connection(context.address.host, context.address.port)
            context.add_cleanup(writer.close)

    context.run_async(take())


async def until(condition: Callable[[], bool]) -> None:
    """Wait for `condition`; the bound of `context.run_async` ends a wait in vain."""
    while True:
        if condition():
            return
        await asyncio.sleep(0.001)


def send(context: Any, **changes: Any) -> None:
    owned = replace(request("own"), remaining_s=getattr(context, "remaining_s", LONG_S))
    sending = context.requests.send(context.address, replace(owned, **changes))
    context.sent = context.run_async(sending)


@when("a POST is sent to it")
def send_post(context: Any) -> None:
    send(context)


@when("a POST under another token is sent to it")
def send_other_token(context: Any) -> None:
    send(context, token=4)


@when("a POST with no time left is sent to it")
def send_expired(context: Any) -> None:
    send(context, remaining_s=0.0)


@when("a request with hop-by-hop and forged headers is sent to it")
def send_forged(context: Any) -> None:
    send(context, key=b"a/b %", headers=(*HOP_BY_HOP, *FORGED, ("X-Own-End", "1")))


@when("two POSTs are sent to it one after the other")
def send_two(context: Any) -> None:
    send(context, request_id="first")
    assert isinstance(context.sent, Ok), context.sent
    if "closes" in context.scripted._behaviours[0]:
        pool = context.requests._sender._pool_of(context.address)
        context.run_async(until(lambda: not pool._idle[0].connection.is_open))
    send(context, request_id="second")


@when("two POSTs are sent to it at once over 1 connection")
def send_at_once(context: Any) -> None:
    context.requests = HttpBackendRequests(LoopClock(), connections_per_server=1)

    async def both() -> None:
        first = asyncio.ensure_future(
            context.requests.send(context.address, request("first", remaining_s=2 * SHORT_S))
        )
        second = context.requests.send(context.address, request("second", remaining_s=SHORT_S))
        context.results = await asyncio.gather(first, second)

    context.run_async(both())


@when("a POST is sent to it and cancelled")
def send_and_cancel(context: Any) -> None:
    async def cancel() -> None:
        sending = asyncio.ensure_future(context.requests.send(context.address, request("own")))
        await until(lambda: context.server._slots.queue_length == 1)
        sending.cancel()
        await asyncio.wait({sending})
        assert sending.cancelled()
        await until(lambda: len(context.server.history) == 1)

    context.run_async(cancel())


@when("its controller asks for the release of a range with 64-bit ends")
def release_high(context: Any) -> None:
    ranges = (GrantedRange(HIGH_START, KEY_SPACE_MAX, 2**41 + 1, True),)
    asked = replace(context.renewal, grants_version=2, ranges=ranges)
    context.run_async(renew(context, asked))
    assert isinstance(context.sent, Ok), context.sent


@when("its controller renews with an older version")
def renew_older(context: Any) -> None:
    context.run_async(renew(context, context.renewal))


@when("its status is read")
def read_status(context: Any) -> None:
    control = HttpBackendControl(LoopClock())
    context.sent = context.run_async(control.read_status(context.address, CONTROL_TIMEOUT_S))


@then("the answer is whole and names request, key and server")
def answer_is_whole(context: Any) -> None:
    answer = context.sent.unwrap()
    body = json.loads(answer.body)
    named = (body["request_id"], body["key"], body["server"], body["token"])
    assert (answer.status, *named) == (200, "own", "key", "server-1", 5), body


@then("the server has run it once")
def has_run_once(context: Any) -> None:
    assert [record.request_id for record in context.server.history.applied()] == ["own"]


@then("the server has run it 0 times")
def has_not_run(context: Any) -> None:
    assert context.server.history.applied() == ()


@then("the answer is wrong owner")
def answer_wrong_owner(context: Any) -> None:
    assert context.sent.unwrap().is_wrong_owner


@then("the answer is shed, with when to come back")
def answer_shed(context: Any) -> None:
    answer = context.sent.unwrap()
    assert answer.is_shed and answer.retry_after_s > 0, answer


@then("the server received the end-to-end headers and the grant only")
def received_headers(context: Any) -> None:
    lines = context.scripted.heads[0].decode().split("\r\n")[1:]
    pairs = [line.split(": ", 1) for line in lines if line]
    received = {name.lower(): value for name, value in pairs}
    assert len(received) == len(pairs), pairs
    assert received["indigoworks-token"] == "5"
    assert received["indigoworks-incarnation"] == "run-1"
    assert received["indigoworks-key"] == "a%2Fb%20%25"
    assert received["x-own-end"] == "1"
    assert not received.keys() & {"connection", "x-own-hop", "keep-alive"}, received


@then("the answer has the end-to-end headers only")
def answer_headers(context: Any) -> None:
    headers = dict(context.sent.unwrap().headers)
    assert headers == {"Indigoworks-Request-Id": "own", "X-End": "1"}, headers


@then("the outcome is completed")
def outcome_completed(context: Any) -> None:
    assert context.sent.unwrap().status == 200


@then('the outcome is "{kind}"')
def outcome_is(context: Any, kind: str) -> None:
    assert context.sent.unwrap_err().kind == kind, context.sent


@then('the first outcome is "{first}" and the second "{second}"')
def outcomes_are(context: Any, first: str, second: str) -> None:
    kinds = [result.unwrap_err().kind for result in context.results]
    assert kinds == [first, second], kinds


@then("the server received {number:d} request")
@then("the server received {number:d} requests")
def server_received(context: Any, number: int) -> None:
    assert len(context.scripted.heads) == number, context.scripted.heads


@then("the server received 2 requests on {number:d} connection")
@then("the server received 2 requests on {number:d} connections")
def server_connections(context: Any, number: int) -> None:
    counts = (len(context.scripted.heads), context.scripted.connections)
    assert counts == (2, number), counts


@then("the server records it as cancelled")
def recorded_cancelled(context: Any) -> None:
    records = context.server.history.after(0)
    outcomes = [(record.request_id, record.outcome) for record in records]
    assert outcomes == [("own", ExecutionOutcome.CANCELLED)], outcomes


@then("the status reports that range as released")
def status_released(context: Any) -> None:
    reading = context.control.read_status(context.address, CONTROL_TIMEOUT_S)
    status = context.run_async(reading).unwrap()
    assert status.released == (GrantedRange(HIGH_START, KEY_SPACE_MAX, 2**41 + 1, True),)
