"""Steps of the bench."""

from dataclasses import replace
from pathlib import Path
from typing import Any

from behave import given, then, when

from indigoworks.common.ring.key_hash import key_hash
from indigoworks_lab.bench.baseline.consistent_ring import ConsistentRing
from indigoworks_lab.bench.deployment.variant import Variant
from indigoworks_lab.bench.experiment import Experiment
from indigoworks_lab.bench.figures.fairness import fair_parts, jain_index
from indigoworks_lab.bench.installation.installations import AMMAN
from indigoworks_lab.bench.report.table import least_kept

REPOSITORY = Path(__file__).parents[2]
SERVERS = 3
SERVICE = "checkout"
SERVICE_MEDIAN_S = 0.1
"""Long, so that the runs are short."""


def _figures(context: Any, scenario: str, variant: str, seed: int = 1) -> Any:
    experiment = Experiment(context.installation, scenario, (), REPOSITORY)
    return experiment.run(seed, Variant(variant))


def _numbers(text: str) -> dict[str, float]:
    return {f"group-{number}": float(each) for number, each in enumerate(text.split(","))}


@given("a small bench installation")
def small_installation(context: Any) -> None:
    shape = replace(AMMAN.service(SERVICE), servers=SERVERS, service_median_s=SERVICE_MEDIAN_S)
    context.installation = replace(AMMAN, services=(shape,), hot_service=SERVICE, routers=3)


@when('the bench runs "{scenario}" twice under "{variant}"')
def run_twice(context: Any, scenario: str, variant: str) -> None:
    context.first = _figures(context, scenario, variant)
    context.second = _figures(context, scenario, variant)
    context.other_seed = _figures(context, scenario, variant, seed=2)


@when('the bench runs "{scenario}" under "{first}" and under "{second}"')
def run_both(context: Any, scenario: str, first: str, second: str) -> None:
    context.runs = {name: _figures(context, scenario, name) for name in (first, second)}


@when('the bench runs "{scenario}" under "ours"')
def run_ours(context: Any, scenario: str) -> None:
    context.figures = _figures(context, scenario, "ours")


@then("both bench runs have the same figures")
def same_figures(context: Any) -> None:
    assert context.first.all_calls.offered > 300, context.first.all_calls
    assert context.first.model_dump_json() == context.second.model_dump_json()


@then("the bench figures change with the seed")
def other_figures(context: Any) -> None:
    assert context.first.all_calls != context.other_seed.all_calls


@then('the worst group of the bench keeps at least 95% of its goodput under "{variant}"')
def keeps(context: Any, variant: str) -> None:
    assert least_kept(context.runs[variant]) >= 0.95, context.runs[variant].kept_goodput


@then('the worst group of the bench keeps less than 95% of its goodput under "{variant}"')
def does_not_keep(context: Any, variant: str) -> None:
    assert least_kept(context.runs[variant]) < 0.95, context.runs[variant].kept_goodput


@then("the bench counts a third of the keys as moved by loss")
def moved(context: Any) -> None:
    churn = context.figures.services[SERVICE].churn
    assert 0.28 < churn.by_cause["loss"] < 0.39, churn
    assert churn.by_cause["leave"] == 0, churn


@then("the bench counts between 1 s and 3 s without service for each of those keys")
def not_served(context: Any) -> None:
    service = context.figures.services[SERVICE]
    per_lost_key_s = service.not_served_s_per_key / service.churn.by_cause["loss"]
    assert 1.0 < per_lost_key_s < 3.0, per_lost_key_s


@then('the bench finds no write that ran twice and no "not run" that ran')
def nothing_twice(context: Any) -> None:
    work = context.figures.wasted_work
    assert work.executions > 300, work
    assert work.writes_run_twice == 0, work
    assert work.not_run_but_run == 0, work


@given("a bench ring of {count:d} servers")
def ring(context: Any, count: int) -> None:
    context.names = [f"server-{number}" for number in range(count)]
    context.ring = ConsistentRing(context.names)


@when("the bench ring loses one")
def lose_one(context: Any) -> None:
    context.lost = context.names[0]
    context.smaller_ring = ConsistentRing(context.names[1:])


@then("only the keys of that server have another owner in the bench")
def only_its_keys(context: Any) -> None:
    changed = 0
    for number in range(1000):
        place = key_hash(f"key-{number}".encode())
        before = context.ring.owners(place, 1)[0]
        after = context.smaller_ring.owners(place, 1)[0]
        assert (before != after) == (before == context.lost), (number, before, after)
        changed += before != after
    assert changed > 100, changed


@then("the bench shares {total:g} over demands {demands} by weights {weights} as {parts}")
def shares(context: Any, total: float, demands: str, weights: str, parts: str) -> None:
    found = fair_parts(_numbers(demands), _numbers(weights), total)
    assert found == _numbers(parts), found


@then("the bench gives Jain's index 1 for equal values")
def equal(context: Any) -> None:
    assert jain_index([2.0, 2.0, 2.0]) == 1.0


@then("the bench gives Jain's index 0.25 where one of four has all")
def one_has_all(context: Any) -> None:
    assert jain_index([8.0, 0.0, 0.0, 0.0]) == 0.25
