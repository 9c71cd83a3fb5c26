"""Steps on soaks in which a leader ends with a grant under way, which a server applies late."""

from behave import then, when
from key_soak_run import run_short_soak

from indigoworks_lab.gateway_soak.check_owner import excused
from indigoworks_lab.gateway_soak.key_event_kind import KeyEventKind
from indigoworks_lab.gateway_soak.key_plan_event import KeyPlanEvent

SEED = 7
FIRST_S = 1.0
AFTER_S = 4.0
MIN_SHARE_LATE = 0.99
HOLD_MAX_S = 4.0
"""With longer ones the keys of a killed leader's servers wait for longer than the grant is late."""

KINDS = {
    "SIGTERM": KeyEventKind.LATE_GRANT_AT_STOP,
    "SIGKILL": KeyEventKind.LATE_GRANT_AT_KILL,
}


@when("a leader gets {signal} with a grant under way that its server applies {late_s:g} s late")
def late_grant(context, signal, late_s):
    plan = [KeyPlanEvent(FIRST_S, KINDS[signal], late_s, (0.0, 0.0, 0.0))]
    seconds = FIRST_S + late_s + AFTER_S
    context.late_s = late_s
    context.key_history = run_short_soak(context, SEED, plan, seconds, hold_max_s=HOLD_MAX_S)


@then("the late grant arrived and was applied or refused then")
def late_grant_arrived(context):
    events = [each for life in context.key_history.lives for each in life.events]
    arrived = [each for each in events if each.kind == "delayed"]
    assert len(arrived) == 1, arrived
    order = (arrived[0].token, arrived[0].first, arrived[0].last, arrived[0].sender_port)
    ends = [
        each.at_s - arrived[0].at_s
        for each in events
        if each.kind in ("taken", "refused")
        and (each.token, each.first, each.last, each.sender_port) == order
    ]
    assert any(each >= context.late_s * MIN_SHARE_LATE for each in ends), ends


@then("the checkers of owners excuse nothing")
def excuse_nothing(context):
    found = excused(context.key_history)
    assert not found, [str(each) for each in found]
