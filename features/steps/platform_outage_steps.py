"""Steps on the check of calls during an outage of the platform."""

from behave import given, then, when

from indigoworks.admin.bodies.range_body import RangeBody, hexadecimal
from indigoworks.common.ring.key_hash import KEY_SPACE_MAX, key_hash
from indigoworks_lab.checkers.history.call import Call
from indigoworks_lab.checkers.history.call_outcome import CallOutcome
from indigoworks_lab.process_run.outage_check import faults_of_outage

QUARTER = (KEY_SPACE_MAX + 1) // 4
PLACES = {"the lost server": 0, "the moving one": 1, 'another of "b"': 2}


def quarter(number, owner, next_owner=""):
    start = number * QUARTER
    return RangeBody(
        service="checkout",
        start=hexadecimal(start),
        end=hexadecimal(start + QUARTER - 1),
        owner=owner,
        owner_incarnation=f"{owner}-1",
        token=1,
        next_owner=next_owner,
        generation=1,
    )


def key_in(number):
    names = (f"key-{each}".encode() for each in range(1000))
    return next(name for name in names if key_hash(name) // QUARTER == number)


def call_on(number, outcome, reason):
    return Call(
        request_id="call-1",
        service="checkout",
        key=key_in(number),
        router="router-1",
        is_repeatable=False,
        invoked_s=1.0,
        answered_s=1.1,
        outcome=CallOutcome(outcome),
        body=f'{{"error": {{"kind": "{reason}"}}}}'.encode(),
    )


@given('an outage of a process run in which a range of "b" moves to "c" and "a" is lost')
def step_outage(context):
    context.ranges = [quarter(0, "a"), quarter(1, "b", "c"), quarter(2, "b"), quarter(3, "b")]
    context.calls = [call_on(3, "completed", "nothing")]


@when("a call on a key of {place} ends as {outcome} for {reason}")
def step_call(context, place, outcome, reason):
    context.calls.append(call_on(PLACES[place], outcome, reason))


@when("another range moves too and no call completes")
def step_two_moves(context):
    context.ranges[2] = quarter(2, "b", "c")
    context.calls = []


@then("the check of the outage finds {count:d} faults")
def step_found(context, count):
    faults = faults_of_outage(context.calls, context.ranges, "a")
    assert len(faults) == count, faults
