"""Shows every broken rule caught, in several processes."""

import json
from collections.abc import Sequence
from concurrent.futures import as_completed
from dataclasses import asdict

from indigoworks_lab.simulation.broken_rules.all_broken_rules import BROKEN_RULES
from indigoworks_lab.simulation.broken_rules.catch import Catch, catch
from indigoworks_lab.simulation.worker_processes import worker_processes


def catch_all(names: Sequence[str], jobs: int) -> Sequence[Catch]:
    """Catch the named rules and print a line for each as it is done."""
    catches = []
    with worker_processes(jobs) as workers:
        running = [workers.submit(_catch_named, name) for name in names]
        for done in as_completed(running):
            _print_catch(done.result())
            catches.append(done.result())
    return catches


def _print_catch(each: Catch) -> None:
    verdict = "caught" if each.is_shown else "NOT SHOWN"
    where = f"{each.plan} seed {each.seed}, {each.seeds_tried} tried"
    print(f"{each.rule}: {verdict} ({where}) {each.found}", flush=True)
    for text in each.sound_found:
        print(f"    sound rule on that seed: {text}", flush=True)


def write_catches(catches: Sequence[Catch], path: str) -> None:
    """Write the catches as JSON."""
    content = [asdict(each) | {"is_shown": each.is_shown} for each in catches]
    with open(path, "w", encoding="utf-8") as file:
        json.dump(content, file, indent=2)


def _catch_named(name: str) -> Catch:
    return catch(BROKEN_RULES[name])
