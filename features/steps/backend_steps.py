"""Steps of the rules of a back end, on a clock that the steps move."""

import asyncio
from dataclasses import replace
from random import Random
from typing import Any

from behave import given, then, when

from indigoworks.backend.granted_range import GrantedRange
from indigoworks.backend.lease_renewal import LeaseRenewal
from indigoworks.backend.owned_request import OwnedRequest
from indigoworks.common.ring.key_hash import KEY_SPACE_MAX
from indigoworks_lab.backend.execution_outcome import ExecutionOutcome
from indigoworks_lab.backend.service_time import ServiceTime
from indigoworks_lab.backend.slots import Slots
from indigoworks_lab.backend.stand_in_faults import StandInFaults
from indigoworks_lab.backend.stand_in_identity import StandInIdentity
from indigoworks_lab.backend.stand_in_profile import StandInProfile
from indigoworks_lab.backend.stand_in_server import StandInServer
from indigoworks_lab.simulation.core.manual_clock import ManualClock, settle

LEASE_S = 1.5
GENERATION = 3
VERSION = 7
SERVICE_TIME_S = 0.01
PROFILE = StandInProfile(
    slots=1, queue_limit=2, service_median_s=SERVICE_TIME_S, service_sigma=0.0, cold_requests=0
)


def request(request_id: str, token: int = 5, remaining_s: float = 10.0) -> OwnedRequest:
    return OwnedRequest(
        request_id=request_id,
        service="catalogue",
        key=b"key",
        group="group",
        method="POST",
        path="/v1/catalogue/key",
        headers=(),
        body=b"",
        range_start=0,
        range_end=KEY_SPACE_MAX,
        token=token,
        server_incarnation="run-1",
        remaining_s=remaining_s,
    )


def renewal(reading_s: float, is_releasing: bool = False) -> LeaseRenewal:
    granted = GrantedRange(0, KEY_SPACE_MAX, 5, is_releasing)
    return LeaseRenewal("run-1", GENERATION, VERSION, reading_s + LEASE_S, (granted,))


@given("a back end with 1 slot that owns the key space under token 5 for 1.5 s")
def own_backend(context: Any) -> None:
    context.clock = ManualClock()
    identity = StandInIdentity("server-1", "run-1", "catalogue", "zone-1")
    context.server = StandInServer(identity, PROFILE, context.clock, Random(context.seed))
    assert context.server.renew(renewal(context.clock.now())).is_ok()


@given("the back end's clock is read")
@when("the back end's clock is read")
def read_clock(context: Any) -> None:
    context.reading_s = context.server.status().clock_s


@when("{seconds:g} s passes at the back end")
def pass_time(context: Any, seconds: float) -> None:
    context.run_async(context.clock.advance(seconds))


@when("a renewal made from that reading arrives")
def renew_from_reading(context: Any) -> None:
    assert context.server.renew(renewal(context.reading_s)).is_ok()


@when("a renewal of an earlier end arrives")
def renew_earlier(context: Any) -> None:
    assert context.server.renew(renewal(context.clock.now() - 1.0)).is_ok()


@when("a renewal for another incarnation without ranges arrives")
def renew_other_incarnation(context: Any) -> None:
    context.renewed = context.server.renew(bare_renewal(context, incarnation="run-2"))


@when("a renewal of an older version without ranges arrives")
def renew_older_version(context: Any) -> None:
    context.renewed = context.server.renew(bare_renewal(context, grants_version=VERSION - 1))


@when("a renewal of an older generation without ranges arrives")
def renew_older_generation(context: Any) -> None:
    older = bare_renewal(context, generation=GENERATION - 1, grants_version=VERSION + 1)
    context.renewed = context.server.renew(older)


@when("a renewal of a newer version with unchanged ranges arrives")
def renew_newer_unchanged(context: Any) -> None:
    newer = bare_renewal(context, grants_version=VERSION + 1, ranges=None)
    context.renewed = context.server.renew(newer)


def bare_renewal(context: Any, **changes: Any) -> LeaseRenewal:
    return replace(renewal(context.clock.now() + 1.0), **{"ranges": (), **changes})


@then("the back end refuses that renewal")
def renewal_refused(context: Any) -> None:
    assert context.renewed.unwrap_err().kind == "backend_refused"


async def run_alone(context: Any, owned: OwnedRequest) -> Any:
    execution = asyncio.ensure_future(context.server.execute(owned))
    await context.clock.advance(2 * SERVICE_TIME_S)
    return execution.result()


@then("the back end refuses a request under token {token:d} as wrong owner")
def refuses_wrong_owner(context: Any, token: int) -> None:
    answer = context.run_async(run_alone(context, request(f"token-{token}", token)))
    assert (answer.status, answer.is_wrong_owner) == (421, True), answer


@then("the back end runs a request under token {token:d}")
def runs_request(context: Any, token: int) -> None:
    answer = context.run_async(run_alone(context, request(f"token-{token}", token)))
    assert answer.status == 200, answer


@then("the back end has run {number:d} request")
@then("the back end has run {number:d} requests")
def has_run(context: Any, number: int) -> None:
    assert len(context.server.history.applied()) == number


async def start(context: Any, owned: OwnedRequest) -> Any:
    execution = asyncio.ensure_future(context.server.execute(owned))
    await settle()
    return execution


@given("a request is running at the back end")
def start_running(context: Any) -> None:
    context.first = context.run_async(start(context, request("first")))
    assert context.server.running == 1


@given("a second request waits for a slot")
def start_waiting(context: Any) -> None:
    context.second = context.run_async(start(context, request("second")))
    assert context.server.running == 1 and not context.second.done()


@given("a second request waits for a slot with {seconds:g} s left")
def start_waiting_with(context: Any, seconds: float) -> None:
    owned = request("second", remaining_s=seconds)
    context.second = context.run_async(start(context, owned))
    assert not context.second.done()


@given("the queue of the back end is full")
def fill_queue(context: Any) -> None:
    for number in range(PROFILE.queue_limit):
        context.run_async(start(context, request(f"queued-{number}")))


@given('the back end has the fault "{name}"')
def set_fault(context: Any, name: str) -> None:
    context.server.faults = StandInFaults(**{name: True})


@when("the back end is asked to release its range")
def ask_release(context: Any) -> None:
    asked = replace(renewal(context.clock.now(), is_releasing=True), grants_version=VERSION + 1)
    assert context.server.renew(asked).is_ok()


@then("no range is reported as released")
def none_released(context: Any) -> None:
    assert context.server.status().released == ()


@then("the range is reported as released")
def range_released(context: Any) -> None:
    assert context.server.status().released == (GrantedRange(0, KEY_SPACE_MAX, 5, True),)


@when("the running request ends")
def end_running(context: Any) -> None:
    context.run_async(context.clock.advance(SERVICE_TIME_S))


@when("the back end freezes for {seconds:g} s")
def freeze(context: Any, seconds: float) -> None:
    context.server.freeze_gate.freeze(seconds)
    context.run_async(context.clock.advance(seconds))


@then("the running request was run")
def first_run(context: Any) -> None:
    assert context.first.result().status == 200


@then("the running request was refused as wrong owner")
def first_refused(context: Any) -> None:
    assert context.first.result().is_wrong_owner


@then("the second request was refused as wrong owner")
def second_refused(context: Any) -> None:
    assert context.second.result().is_wrong_owner


@then("the second request was shed")
def second_shed(context: Any) -> None:
    assert context.second.result().is_shed
    outcomes = [record.outcome for record in context.server.history.after(0)]
    assert outcomes == [ExecutionOutcome.APPLIED, ExecutionOutcome.EXPIRED], outcomes


@when("both requests are cancelled")
def cancel_both(context: Any) -> None:
    context.first.cancel()
    context.second.cancel()
    context.run_async(settle())
    assert context.first.cancelled() and context.second.cancelled()


@then("the history has 1 cancelled request")
def history_cancelled(context: Any) -> None:
    outcomes = [record.outcome for record in context.server.history.after(0)]
    assert outcomes.count(ExecutionOutcome.CANCELLED) == 1, outcomes


@then("the back end sheds a request")
def sheds(context: Any) -> None:
    answer = context.run_async(context.server.execute(request("one-too-many")))
    assert (answer.status, answer.is_shed, answer.retry_after_s > 0) == (503, True, True)


@given("one slot that is taken, and two that wait for it")
def take_slot(context: Any) -> None:
    async def take() -> None:
        context.slots = Slots(1)
        await context.slots.acquire()
        context.waiting = [asyncio.ensure_future(context.slots.acquire()) for _ in range(2)]
        await settle()

    context.run_async(take())


@when("the slot is given back and its next holder is cancelled in the same step")
def release_and_cancel(context: Any) -> None:
    async def both() -> None:
        context.slots.release()
        context.waiting[0].cancel()
        await settle()

    context.run_async(both())
    assert context.waiting[0].cancelled()


@then("the last in the queue holds the slot")
def last_holds(context: Any) -> None:
    assert context.waiting[1].done() and not context.waiting[1].cancelled()
    assert (context.slots.busy, context.slots.queue_length) == (1, 0)


@then("the first service time is 4 times the one of a warm server")
def cold_start(context: Any) -> None:
    profile = StandInProfile(service_sigma=0.0, cold_requests=2, cold_factor=4.0)
    service_time = ServiceTime(profile, Random(context.seed))
    drawn = [service_time.draw_s(1.0) for _ in range(4)]
    assert drawn == [profile.service_median_s * factor for factor in (4.0, 2.5, 1.0, 1.0)], drawn
