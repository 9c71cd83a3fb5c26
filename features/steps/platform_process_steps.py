"""Steps on runs of real processes under faults."""

import tempfile
from pathlib import Path
from random import Random

from behave import given, then, when

from indigoworks_lab.checkers.history.call_outcome import CallOutcome
from indigoworks_lab.launcher.free_ports import FreePorts
from indigoworks_lab.launcher.launcher import Launcher
from indigoworks_lab.process_run.process_faults import FAULTS
from indigoworks_lab.process_run.process_run import ProcessRun, plan_process_run

FAULT_TIMEOUT_S = 150.0


@given("a process run in which every key is served")
def start_process_run(context):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    launcher = Launcher(Path(directory.name))
    context.add_cleanup(launcher.end_all)

    async def start():
        context.process_run = ProcessRun(launcher, plan_process_run(FreePorts(Random())))
        return await context.process_run.start()

    assert context.run_async(start(), FAULT_TIMEOUT_S), "not every key came to be served"


@when("in the process run {fault}")
def put_fault(context, fault):
    run = context.process_run
    context.run_async(FAULTS[fault](run), FAULT_TIMEOUT_S)
    assert context.run_async(run.all_keys_served(), FAULT_TIMEOUT_S), "a key is not served again"


@when("the process run ends")
def end_process_run(context):
    context.violations = context.run_async(context.process_run.finish(), FAULT_TIMEOUT_S)


@then("no checker finds a violation in the process run")
def no_violation(context):
    assert not context.violations, "\n".join(str(each) for each in context.violations)


@then("the faults were felt in the process run")
def faults_felt(context):
    history = context.process_run.history()
    outcomes = {call.outcome for call in history.calls}
    # "unknown" depends on what was in flight at the moment of a fault, so it may be absent.
    felt = {CallOutcome.COMPLETED, CallOutcome.NOT_RUN}
    assert felt <= outcomes, context.process_run.outcomes()
    assert len({execution.server for execution in history.executions}) == 4
    generations = {execution.token >> 40 for execution in history.executions}
    # The log outlived the loss of all controllers: no token had to be made anew in another one.
    assert generations == {1}, generations


@then("every completed call of the process run has its own whole answer")
def own_answers(context):
    assert context.process_run.outcomes()["completed"] > 0
    assert context.process_run.foreign_answers() == 0


@then("the checkers find a record of the process run that is altered")
def altered_record_found(context):
    history = context.process_run.history()
    effects = {execution.request_id: execution for execution in history.executions}
    ran = [call for call in history.calls if call.request_id in effects and not call.is_repeatable]
    ran[0].outcome = CallOutcome.NOT_RUN
    history.executions.append(effects[ran[1].request_id])
    found = {(each.checker, each.text.split()[0]) for each in context.process_run.check()}
    expected = {("not run", ran[0].request_id), ("at most once", ran[1].request_id)}
    assert found == expected, found
