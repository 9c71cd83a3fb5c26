"""Steps on the checkers, with histories made by hand."""

from behave import given, then, when

from indigoworks_lab.checkers.check_history import check_history
from indigoworks_lab.checkers.history.assignment_sample import AssignmentSample, CommittedRange
from indigoworks_lab.checkers.history.call import Call
from indigoworks_lab.checkers.history.call_outcome import CallOutcome
from indigoworks_lab.checkers.history.departure import Departure
from indigoworks_lab.checkers.history.execution import Execution
from indigoworks_lab.checkers.history.history import History
from indigoworks_lab.checkers.history.leader_overlap import LeaderOverlap
from indigoworks_lab.checkers.history.loss import Loss
from indigoworks_lab.checkers.history.ownership_span import OwnershipSpan
from indigoworks_lab.checkers.history.planned_stop import PlannedStop
from indigoworks_lab.checkers.history.settings_change import SettingsChangeCall
from indigoworks_lab.checkers.history.settings_use import SettingsUse
from indigoworks_lab.checkers.served_again import served_again
from indigoworks_lab.checkers.served_at_the_end import check_served_at_the_end

KEY = b"key"
END_S = 10.0


def span(run, token, from_s, to_s, start=0, end=99):
    return OwnershipSpan("stock", start, end, f"server-{run}", run, token, from_s, to_s)


def execution(request_id, run, token, started_s, effect_s, answer=None):
    body = answer or f"answer to {request_id}".encode()
    return Execution(
        request_id, "stock", KEY, f"server-{run}", run, token, started_s, effect_s, body
    )


def call(request_id, invoked_s, answered_s, is_repeatable=False):
    body = f"answer to {request_id}".encode()
    outcome = CallOutcome.COMPLETED
    return Call(
        request_id,
        "stock",
        KEY,
        "router-1",
        is_repeatable,
        invoked_s,
        answered_s,
        outcome,
        200,
        body,
    )


def sample(at_s, *ranges):
    committed = tuple(
        CommittedRange("stock", start, end, owner, f"{owner}#1" if owner else "", token)
        for start, end, owner, token in ranges
    )
    return AssignmentSample(at_s, "controller-1", 1, committed)


def use(at_s, version, change_id, router_run=1):
    return SettingsUse(at_s, f"router-{router_run}", router_run, version, change_id)


def accepted(change_id, version, answered_s):
    return SettingsChangeCall(change_id, version - 1, answered_s - 1, answered_s, 200, version)


@given("a sound history for the checkers")
def step_sound_history(context):
    history = History()
    history.spans = [span(1, 5, 0.0, 5.0), span(2, 6, 5.5, 20.0)]
    history.executions = [
        execution("request-1", 1, 5, 1.0, 1.1),
        execution("request-2", 1, 5, 3.0, 3.1),
        execution("request-3", 2, 6, 9.0, 9.1),
    ]
    history.calls = [
        call("request-1", 0.9, 1.2),
        call("request-2", 2.9, 3.2),
        call("request-3", 8.9, 9.2),
    ]
    history.assignments = [
        sample(0.5, (0, 49, "server-1", 5), (50, 99, "server-1", 5)),
        sample(5.4, (0, 49, "server-2", 6), (50, 99, "server-2", 7)),
    ]
    history.settings_changes = [accepted("a", 1, 1.0), accepted("b", 2, 4.0)]
    history.settings_uses = [use(2.0, 1, "a"), use(6.9, 1, "a"), use(7.1, 2, "b")]
    context.history = history


@when("a second owner during the lease of the first is put into the history")
def step_second_owner(context):
    context.history.spans[1].from_s = 4.9


@when("a second owner of a part of the range is put into the history")
def step_second_owner_of_part(context):
    context.history.spans.append(span(3, 7, 6.0, 7.0, start=99, end=150))


@when("an effect after the next owner has begun is put into the history")
def step_late_effect(context):
    context.history.executions[1].effect_s = 9.05


@when("an execution under an older token is put into the history")
def step_older_token(context):
    context.history.executions[2].token = 4


@when("an assignment that goes back is put into the history")
def step_assignment_back(context):
    ranges = ((0, 49, "server-1", 5), (50, 99, "server-2", 7))
    context.history.assignments.append(sample(6.0, *ranges))


@when("an assignment that vanishes is put into the history")
def step_assignment_vanishes(context):
    context.history.assignments.append(sample(6.0, (0, 49, "server-2", 6)))


@when("two owners under one token is put into the history")
def step_one_token(context):
    ranges = ((0, 49, "server-3", 6), (50, 99, "server-2", 7))
    context.history.assignments.append(sample(6.0, *ranges))


@when("a committed range has no owner for a while")
def step_unowned(context):
    context.history.assignments.append(sample(6.0, (0, 49, "", 0), (50, 99, "server-2", 7)))
    ranges = ((0, 49, "server-3", 8), (50, 99, "server-2", 7))
    context.history.assignments.append(sample(7.0, *ranges))


@when("two leaders at the same moment is put into the history")
def step_two_leaders(context):
    overlap = LeaderOverlap(4.0, ("controller-1", "controller-2"))
    context.history.leader_overlaps.append(overlap)


@when("a write that takes effect twice is put into the history")
def step_twice(context):
    context.history.executions.append(execution("request-3", 2, 6, 9.2, 9.3))


@when("an effect of a request answered as not run is put into the history")
def step_not_run(context):
    context.history.calls[1].outcome = CallOutcome.NOT_RUN
    context.history.calls[1].answered_s = 2.95


@when("an answer cut short is put into the history")
def step_cut_short(context):
    context.history.calls[1].body = context.history.calls[1].body[:-1]


@when("the answer to another request is put into the history")
def step_other_answer(context):
    context.history.calls[1].body = context.history.calls[0].body


@when("an old version used after the time limit is put into the history")
def step_old_version(context):
    context.history.settings_uses.append(use(7.2, 1, "a", router_run=2))


@when("a version that goes back at a router is put into the history")
def step_version_back(context):
    uses = context.history.settings_uses
    uses.extend([use(4.5, 2, "b", router_run=2), use(5.0, 1, "a", router_run=2)])


@when("two changes accepted as one version is put into the history")
def step_two_accepted(context):
    context.history.settings_changes.append(accepted("c", 2, 4.1))


@when("an accepted change replaced under its version is put into the history")
def step_replaced(context):
    context.history.settings_uses[2] = use(7.1, 2, "c")


@when("a refused change that is used is put into the history")
def step_refused_used(context):
    context.history.settings_changes.append(SettingsChangeCall("c", 2, 5.0, 5.1, 409))
    context.history.settings_uses.append(use(9.0, 3, "c"))


@when("new work for a server that was to leave is put into the history")
def step_work_for_leaving(context):
    context.history.departures.append(Departure("server-1", 1, 0.9))


@when("a call cut by a planned stop is put into the history")
def step_cut_by_stop(context):
    context.history.planned_stops.append(PlannedStop("router-1", 3.0, 3.1))
    context.history.calls[1].outcome = None


@when("a key that is not served at the end is put into the history")
def step_not_served(context):
    context.history.calls[2].outcome = CallOutcome.UNKNOWN


@when("the next owner begins when the lease of the first has lapsed")
def step_follows(context):
    context.history.spans[1].from_s = 5.0


@when(
    "the owner of the key is lost at {lost_s:g} s and a call invoked at {invoked_s:g} s "
    "completes at {answered_s:g} s"
)
def step_loss(context, lost_s, invoked_s, answered_s):
    history = context.history
    history.losses.append(Loss("server killed", "server-1", 1, lost_s))
    history.executions.insert(2, execution("request-4", 2, 6, 6.0, 6.1))
    history.calls.insert(2, call("request-4", invoked_s, answered_s))


def findings(context):
    history = context.history
    return [*check_history(history), *check_served_at_the_end(history, END_S, 4.0)]


@then("no checker finds anything")
def step_nothing_found(context):
    assert findings(context) == [], [str(each) for each in findings(context)]


@then('the checker "{checker}" finds it')
def step_found(context, checker):
    names = {each.checker for each in findings(context)}
    assert names == {checker}, [str(each) for each in findings(context)]


@then("the checkers measure that the key was served again after {duration_s:g} s")
def step_served_again(context, duration_s):
    measured = served_again(context.history)
    assert [each.duration_s for each in measured] == [duration_s], measured
