"""The soak by hand; see scripts/gateway-soak."""

import argparse
import asyncio
import shutil
import sys
from collections import Counter
from dataclasses import astuple
from functools import partial
from itertools import count
from pathlib import Path
from random import Random

from gateway_soak_world import GATEWAYS, SERVERS, SoakWorld
from key_soak_command import main as key_main

from indigoworks_lab.gateway_soak.check_soak import check_soak
from indigoworks_lab.gateway_soak.draw_limits import draw_limits
from indigoworks_lab.gateway_soak.draw_plan import draw_plan
from indigoworks_lab.gateway_soak.draw_rests import draw_rests
from indigoworks_lab.gateway_soak.draw_returns import draw_returns
from indigoworks_lab.gateway_soak.draw_silences import draw_silences
from indigoworks_lab.gateway_soak.event_kind import EventKind
from indigoworks_lab.simulation.worker_processes import worker_processes

ROOT = Path(__file__).parents[2]
LOGS = ROOT / "run" / "gateway-soak"
MAX_SHOWN = 4
KEYS = "--keys"
"""Chooses the soak of servers that hold keys."""


def main(arguments) -> int:
    """Run the seeds; exit code 1 if anything broke."""
    if KEYS in arguments:
        return key_main([each for each in arguments if each != KEYS])
    parser = argparse.ArgumentParser(prog="scripts/gateway-soak", description=__doc__)
    parser.add_argument("--seeds", type=int, default=1, help="how many")
    parser.add_argument("--first", type=int, default=1, help="the first one")
    parser.add_argument("--seconds", type=float, default=12.0, help="of events, in each seed")
    parser.add_argument("--gateways", type=int, default=GATEWAYS)
    parser.add_argument("--jobs", type=int, default=1, help="seeds at the same time")
    chosen = parser.parse_args(arguments)
    seeds = range(chosen.first, chosen.first + chosen.seeds)
    run = partial(run_seed, seconds=chosen.seconds, gateways=chosen.gateways)
    with worker_processes(chosen.jobs) as pool:
        broken = list(pool.map(run, seeds))
    print(f"{len(broken)} seeds, {sum(broken)} with breaches")
    return 1 if any(broken) else 0


def run_seed(seed, seconds, gateways) -> bool:
    """Run one seed, print its line, and return whether anything broke."""
    folder = _free_folder(seed)
    world, violations = asyncio.run(soak(seed, folder, seconds, gateways))
    history = world.history
    statuses = Counter(each.status for each in history.requests)
    counts = " ".join(f"{status}:{count}" for status, count in sorted(statuses.items()))
    kinds = Counter(each.checker for each in violations)
    verdict = ", ".join(f"{count} {kind}" for kind, count in kinds.items()) or "nothing broke"
    lives = len(history.lives)
    late = f"soak late by {world.most_lag_s:.2f} s at most"
    lines = [f"seed {seed}: {verdict}; {lives} processes, answers {counts}, {late}"]
    lines += [f"  {each}" for each in violations[:MAX_SHOWN]]
    rests = sum(each.rest_s > 0 for each in history.wishes)
    leavings = sum(each.is_leaving for each in history.wishes)
    limits = sum(each.limit_per_s is not None for each in history.wishes)
    lines[0] += f", {rests} rests asked for, {leavings} times leaving told, {limits} limits named"
    print("\n".join(lines), flush=True)
    if not violations:
        shutil.rmtree(folder)
        return False
    (folder / "violations").write_text("\n".join(map(str, violations)) + "\n")
    (folder / "requests").write_text(
        "\n".join(str(astuple(each)) for each in history.requests) + "\n"
    )
    (folder / "arrivals").write_text("\n".join(map(str, history.arrivals)) + "\n")
    (folder / "wishes").write_text("\n".join(map(str, history.wishes)) + "\n")
    (folder / "lives").write_text("\n".join(map(str, history.lives)) + "\n")
    return True


def _free_folder(seed) -> Path:
    """Return a folder that holds no logs of an earlier run of this seed, which broke something."""
    numbers = (str(seed) if number == 1 else f"{seed}-{number}" for number in count(1))
    return next(LOGS / name for name in numbers if not (LOGS / name).exists())


SILENT_STORE_SEEDS = 4
"""In one of so many seeds the store has no trouble but connections that go silent."""

LEFT_OUT_BESIDE_SILENCE = (EventKind.STORE, EventKind.CONFIGURE)
"""Other troubles excuse what follows; configurations keep the connection of their feed busy."""

CALM_STORE_SEEDS = 2
"""In one of so many seeds the store has no trouble but its returns."""


UNANSWERED_SEEDS = 5
"""In one of so many seeds servers leave some requests unanswered, and the sizes are drawn."""

UNANSWERED_SHARE = 0.1
DRAWN_GATEWAYS = (1, 2, 17)
DRAWN_SERVERS = (1, 2)


async def soak(seed, folder, seconds, gateways):
    """Run one seed; returns its world and what the checkers find."""
    servers, unanswered = SERVERS, 0.0
    if seed % UNANSWERED_SEEDS == 0:
        sizes = Random(f"sizes {seed}")
        gateways, servers = sizes.choice(DRAWN_GATEWAYS), sizes.choice(DRAWN_SERVERS)
        unanswered = UNANSWERED_SHARE
    world = SoakWorld(seed, folder, gateways, servers, unanswered)
    plan = draw_plan(Random(seed), seconds, gateways, servers)
    if seed % CALM_STORE_SEEDS == 0:
        # Other troubles excuse what comes after a return.
        plan = [each for each in plan if each.kind is not EventKind.STORE]
    rests = draw_rests(Random(f"rests {seed}"), seconds, servers)
    limits = draw_limits(Random(f"limits {seed}"), seconds, servers)
    returns = draw_returns(Random(f"returns {seed}"), seconds)
    silences = []
    if seed % SILENT_STORE_SEEDS == 1:
        plan = [each for each in plan if each.kind not in LEFT_OUT_BESIDE_SILENCE]
        rests, limits, returns = [], [], []
        silences = draw_silences(Random(f"silences {seed}"), seconds)
    await world.run(plan, seconds, rests, limits, returns, silences)
    return world, check_soak(world.history)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
