"""Runs many seeds in several processes and sums up what they showed."""

import json
import sys
import time
from collections.abc import Iterator
from concurrent.futures import as_completed
from contextlib import nullcontext

import fire

from indigoworks_lab.simulation.broken_rules.all_broken_rules import BROKEN_RULES
from indigoworks_lab.simulation.broken_rules.broken_rule import ShownBy
from indigoworks_lab.simulation.broken_rules.catch_all import catch_all, write_catches
from indigoworks_lab.simulation.explore_report import ExploreReport
from indigoworks_lab.simulation.plans import PLANS
from indigoworks_lab.simulation.run_report import RunReport, failed_run
from indigoworks_lab.simulation.run_seed import run_seed
from indigoworks_lab.simulation.worker_processes import worker_processes

EXIT_OK = 0
EXIT_FOUND = 1
EXIT_MISUSE = 2


def run_one(seed: int, plan: str, broken: str) -> RunReport:
    """Run one seed of a named plan, with a broken rule if one is named."""
    broken_rule = BROKEN_RULES[broken].applied() if broken else nullcontext()
    with broken_rule:
        try:
            return run_seed(seed, PLANS[plan])
        except Exception as error:
            return failed_run(seed, f"the run ended with {error!r}")


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
    :param broken: name of a rule to break; "list" prints the names, "all" shows that each
        that seeds can show is caught on some seed and that the sound rule passes there.
    :param jobs: processes to run in.
    :param stop_at_first: stop at the first seed with a violation.
    :param json_file: also write the result there, as JSON.
    :returns: exit code: 0 nothing found, 1 found, 2 misuse.
    """
    if broken == "list":
        for rule in BROKEN_RULES.values():
            print(f"{rule.name}: {rule.text} Shown by {rule.shown_by.value}.")
        return EXIT_OK
    if broken == "all":
        names = [name for name, rule in BROKEN_RULES.items() if rule.shown_by is ShownBy.SEEDS]
        catches = catch_all(names, jobs)
        if json_file:
            write_catches(catches, json_file)
        return EXIT_OK if all(each.is_shown for each in catches) else EXIT_FOUND
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
    with worker_processes(jobs) as workers:
        running = [workers.submit(run_one, seed, plan, broken) for seed in seeds]
        try:
            for done in as_completed(running):
                yield done.result()
        finally:
            workers.shutdown(cancel_futures=True)


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
