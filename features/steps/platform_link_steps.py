"""Steps on runs of real processes whose links are cut."""

import sys
import tempfile
from dataclasses import replace
from pathlib import Path
from random import Random

from behave import given, then, when

from indigoworks_lab.checkers.history.call_outcome import CallOutcome
from indigoworks_lab.launcher.free_ports import FreePorts
from indigoworks_lab.launcher.launcher import Launcher
from indigoworks_lab.process_run.link_faults import LINK_FAULTS
from indigoworks_lab.process_run.link_run import LINK_CHECKERS, LinkRun

FAULT_TIMEOUT_S = 300.0


@given("a link run in which every key is served")
def start_link_run(context):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    launcher = Launcher(Path(directory.name))
    context.add_cleanup(launcher.end_all)

    async def start():
        context.link_run = LinkRun(launcher, FreePorts(Random()))
        return await context.link_run.start()

    assert context.run_async(start(), FAULT_TIMEOUT_S), "not every key came to be served"


@when("in the link run {fault}")
def cut_links(context, fault):
    run = context.link_run
    context.run_async(LINK_FAULTS[fault](run), FAULT_TIMEOUT_S)
    # Past behave's capture: the figures are for the reader of the run, also where it passes.
    print(run.stages[-1].text(run.recorder.calls), file=sys.__stdout__)


@when("the link run ends")
def end_link_run(context):
    context.violations = context.run_async(context.link_run.finish(), FAULT_TIMEOUT_S)


@then("no checker finds a violation in the link run")
def no_violation(context):
    assert not context.violations, "\n".join(str(each) for each in context.violations)


@then("every cut of the link run held bytes back")
def cuts_felt(context):
    stages = context.link_run.stages
    assert len(stages) == len(LINK_FAULTS), stages
    for stage in stages:
        assert sum(stage.held.values()) > 0, stage
    assert {CallOutcome.COMPLETED, CallOutcome.NOT_RUN} <= {
        call.outcome for call in context.link_run.history().calls
    }


@then("every completed call of the link run has its own whole answer")
def own_answers(context):
    assert context.link_run.outcomes()["completed"] > 0
    assert context.link_run.foreign_answers() == 0


@then("each checker of the link run finds a record that is altered")
def altered_record_found(context):
    run = context.link_run
    altered = [
        ran_twice,
        ran_though_not_run,
        began_before_the_effect,
        began_under_an_older_token,
        used_a_refused_change,
        used_another_than_accepted,
    ]
    assert len(altered) == len(LINK_CHECKERS)
    for alter, checker in zip(altered, LINK_CHECKERS, strict=True):
        history = run.history()
        history.executions = list(history.executions)
        history.calls = list(history.calls)
        expected = alter(history)
        found = [each.text for each in checker(history)]
        assert len(found) == 1 and expected in found[0], (alter.__name__, expected, found)


def executed_write(history):
    """Return the execution of a completed write, and the place of its call."""
    return next(executed_writes(history))


def executed_writes(history):
    """Yield the execution of each completed write, with the place of its call."""
    effects = {each.request_id: each for each in history.executions}
    for place, call in enumerate(history.calls):
        if call.request_id in effects and not call.is_repeatable:
            yield effects[call.request_id], place


def is_alone(execution, history):
    """Tell whether no other execution on its key overlaps it: it would show twice."""
    return not any(
        each is not execution
        and (each.service, each.key) == (execution.service, execution.key)
        and each.started_s < execution.effect_s
        and (each.effect_s or each.started_s) > execution.started_s
        for each in history.executions
    )


def ran_twice(history):
    execution, _ = executed_write(history)
    history.executions.append(execution)
    return f"{execution.request_id} on"


def ran_though_not_run(history):
    execution, place = executed_write(history)
    history.calls[place] = replace(history.calls[place], outcome=CallOutcome.NOT_RUN)
    return f"{execution.request_id} on"


def began_before_the_effect(history):
    writes = (execution for execution, _ in executed_writes(history))
    execution = next(each for each in writes if each.effect_s and is_alone(each, history))
    middle_s = (execution.started_s + execution.effect_s) / 2
    other = replace(execution, request_id="altered", server_run=-1, started_s=middle_s)
    history.executions.append(replace(other, effect_s=None))
    return f"{execution.request_id} on"


def began_under_an_older_token(history):
    last = max(history.executions, key=lambda each: each.started_s)
    history.executions.remove(last)
    # An earlier execution on the key must stand: every key is served again and again.
    history.executions.append(replace(last, token=1))
    return f"{last.request_id} on"


def used_a_refused_change(history):
    refused = next(each for each in history.settings_changes if each.status == 503)
    history.settings_uses = [replace(history.settings_uses[0], change_id=refused.change_id)]
    return refused.change_id


def used_another_than_accepted(history):
    accepted = next(each for each in history.settings_changes if each.is_accepted)
    use = replace(history.settings_uses[0], version=accepted.version, change_id="altered")
    history.settings_uses = [use]
    return "altered"
