"""Runs many seeds in several processes and sums up what they showed."""

import json
import sys
import time
from collections.abc import Iterator
from multiprocessing import get_context

import fire

from indigoworks_lab.simulation.broken_rules.all_broken_rules import BROKEN_RULES
from indigoworks_lab.simulation.explore_report import ExploreReport
from indigoworks_lab.simulation.plans import PLANS
from indigoworks_lab.simulation.run_report import RunReport
from indigoworks_lab.simulation.run_seed import run_seed

EXIT_OK = 0
EXIT_FOUND = 1
EXIT_MISUSE = 2
SEEDS_PER_PROCESS = 40
"""Seeds after which a worker process is replaced, so that its memory stays small."""


def run_one(seed: int, plan: str, broken: str) -> RunReport:
    """Run one seed of a named plan, with a broken rule if one is named."""
    if not broken:
        return run_seed(seed, PLANS[plan])
    rule = BROKEN_RULES[broken]
    with rule.applied():
        return run_seed(seed, PLANS[plan])


def explore(
    seeds: int = 20,
    first: int = 1,
    plan: str = "",
    broken: str = "",
    jobs: int = 4,
    stop_at_first: bool = False,
    json_file: str = "",
) -> int:
    """Run seeds and print what was injected, what was found and when keys were served again.

    :param seeds: number of seeds.
    :param first: the first seed.
    :param plan: mixed (default), calm, planned-stops or single-losses.
    :param broken: name of a rule to break; "list" prints the names.
    :param jobs: processes to run in.
    :param stop_at_first: stop at the first seed with a violation.
    :param json_file: also write the result there, as JSON.
    :returns: exit code: 0 nothing found, 1 found, 2 misuse.
    """
    if broken == "list":
        for rule in BROKEN_RULES.values():
            print(f"{rule.name}: {rule.text}")
        return EXIT_OK
    if plan not in ("", *PLANS) or broken not in ("", *BROKEN_RULES):
        print(f"Plans: {', '.join(PLANS)}. Broken rules: --broken list.", file=sys.stderr)
        return EXIT_MISUSE
    started_s = time.monotonic()
    chosen = plan or (BROKEN_RULES[broken].plan_name if broken else "mixed")
    report = ExploreReport(chosen, broken)
    for result in _results(range(first, first + seeds), chosen, broken, jobs):
        report.add(result)
        if not result.is_ok:
            print(report.failure_text(result), flush=True)
            if stop_at_first:
                break
    print(report.text(time.monotonic() - started_s))
    if json_file:
        with open(json_file, "w", encoding="utf-8") as file:
            json.dump(report.to_json(), file, indent=2)
    return EXIT_OK if report.is_ok else EXIT_FOUND


def _results(seeds: range, plan: str, broken: str, jobs: int) -> Iterator[RunReport]:
    if jobs <= 1:
        for seed in seeds:
            yield run_one(seed, plan, broken)
        return
    context = get_context("spawn")
    with context.Pool(jobs, maxtasksperchild=SEEDS_PER_PROCESS) as pool:
        yield from pool.imap_unordered(_Job(plan, broken), seeds)


class _Job:
    """Runs one seed in a worker process."""

    def __init__(self, plan: str, broken: str) -> None:
        self._plan = plan
        self._broken = broken

    def __call__(self, seed: int) -> RunReport:
        return run_one(seed, self._plan, self._broken)


def main() -> None:
    """Run from the command line."""
    fire.Fire(_explore_and_exit, name="explore")


def _explore_and_exit(
    seeds: int = 20,
    first: int = 1,
    plan: str = "",
    broken: str = "",
    jobs: int = 4,
    stop_at_first: bool = False,
    json_file: str = "",
) -> None:
    sys.exit(explore(seeds, first, plan, broken, jobs, stop_at_first, json_file))


if __name__ == "__main__":
    main()
