"""Steps that run seeds, broken rules and searches of the simulation."""

import json
import os
import subprocess
import sys
import tempfile
from functools import cache
from pathlib import Path

from behave import given, then, when

from indigoworks_lab.simulation.bounded.lease_handover import lease_handover
from indigoworks_lab.simulation.bounded.search import search
from indigoworks_lab.simulation.bounded.settings_race import settings_race
from indigoworks_lab.simulation.broken_rules.all_broken_rules import BROKEN_RULES

JOBS = 4
HUNG_AFTER_S = 1800
CASES = {"lease handover": lease_handover, "settings race": settings_race}


def explore(*options):
    """Run `scripts/explore` in a process of its own, with a fixed hash seed, as replays need."""
    with tempfile.TemporaryDirectory() as folder:
        result = Path(folder) / "result.json"
        command = [sys.executable, "-m", "indigoworks_lab.simulation.explore", *options]
        command += ["--jobs", str(JOBS), "--json_file", str(result)]
        done = subprocess.run(
            command,
            env={**os.environ, "PYTHONHASHSEED": "0"},
            capture_output=True,
            text=True,
            timeout=HUNG_AFTER_S,
            check=False,
        )
        assert result.exists(), done.stdout + done.stderr
        return json.loads(result.read_text()), done.stdout


@cache
def catches():
    content, output = explore("--broken", "all")
    return {each["rule"]: each for each in content}, output


@when('the simulation runs {seeds:d} seeds from {first:d} of the plan "{plan}"')
def step_run_seeds(context, seeds, first, plan):
    options = ("--seeds", str(seeds), "--first", str(first), "--plan", plan)
    context.explored, context.output = explore(*options)
    assert context.explored["seeds"] == seeds


@then("the simulation finds nothing")
def step_nothing(context):
    assert context.explored["found"] == {}, context.output


@then("at least {kinds:d} kinds of faults were injected, {count:d} in all")
def step_faults(context, kinds, count):
    faults = context.explored["faults"]
    assert len(faults) >= kinds and sum(faults.values()) >= count, context.output


@then(
    "more than {executions:d} requests were executed and {changes:d} or more settings changes "
    "accepted"
)
def step_work_done(context, executions, changes):
    explored = context.explored
    assert explored["executions"] > executions, context.output
    assert explored["settings_accepted"] >= changes, context.output


@then("every request was completed or refused unrun")
def step_all_answered(context):
    assert set(context.explored["calls"]) <= {"completed", "not-run"}, context.output


@then("the median time until keys were served again is at most {limit_s:g} s for each of")
def step_median(context, limit_s):
    measured = context.explored["served_again_s"]
    for row in context.table:
        kind = measured[row["kind"]]
        assert kind["count"] >= 5 and kind["p50"] <= limit_s, context.output


@when("the broken rules are run")
def step_broken(context):
    context.catches, context.output = catches()


@then('"{rule}" was caught and the sound rule passed on the same seed')
def step_caught(context, rule):
    assert context.catches[rule]["is_shown"], context.output


@given('the rule "{rule}" is broken for the search')
def step_break_rule(context, rule):
    context.add_cleanup(BROKEN_RULES[rule].applied().close)


@when('every schedule of the case "{case}" with at most {bound:d} deviations is run')
def step_search(context, case, bound):
    context.searched = search(CASES[case], bound)


@then("the search is exhausted after at least {schedules:d} schedules and finds nothing")
def step_exhausted(context, schedules):
    searched = context.searched
    assert searched.violation == "" and searched.is_exhausted, searched
    assert searched.schedules >= schedules, searched


@then('the search finds a violation that says "{text}"')
def step_search_finds(context, text):
    assert text in context.searched.violation, context.searched
