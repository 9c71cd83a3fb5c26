"""The soak of servers that hold keys, by hand; see scripts/gateway-soak."""

import argparse
import asyncio
import shutil
from collections import Counter
from functools import partial
from itertools import count
from pathlib import Path
from random import Random

from key_soak_world import CALLERS, GATEWAYS, SERVERS, KeySoakWorld

from indigoworks_lab.gateway_soak.check_key_requests import check_key_requests
from indigoworks_lab.gateway_soak.check_owner import check_owner, excused
from indigoworks_lab.gateway_soak.draw_key_plan import draw_key_plan
from indigoworks_lab.gateway_soak.key_event_kind import KeyEventKind
from indigoworks_lab.gateway_soak.key_server_place import HOLD_MAX_S
from indigoworks_lab.simulation.worker_processes import worker_processes

ROOT = Path(__file__).parents[2]
LOGS = ROOT / "run" / "key-soak"
MAX_SHOWN = 4


def main(arguments) -> int:
    """Run the seeds; exit code 1 if anything broke."""
    kinds = [each.name.lower() for each in KeyEventKind]
    parser = argparse.ArgumentParser(prog="scripts/gateway-soak --keys", description=__doc__)
    parser.add_argument("--seeds", type=int, default=1, help="how many")
    parser.add_argument("--first", type=int, default=1, help="the first one")
    parser.add_argument("--seconds", type=float, default=40.0, help="of events, in each seed")
    parser.add_argument("--gateways", type=int, default=GATEWAYS)
    parser.add_argument("--servers", type=int, default=SERVERS)
    parser.add_argument("--callers", type=int, default=CALLERS, help="for each gateway")
    parser.add_argument("--hold-max", type=float, default=HOLD_MAX_S, help="longest hold, in s")
    parser.add_argument("--jobs", type=int, default=1, help="seeds at the same time")
    parser.add_argument(
        "--kinds", nargs="*", choices=kinds, default=[], help="of events; no: drawn"
    )
    parser.add_argument("--without", nargs="*", choices=kinds, default=[], help="of events")
    parser.add_argument("--forget-releases", action="store_true", help="servers forget tokens")
    parser.add_argument("--repeat-refusals", action="store_true", help="servers send some twice")
    parser.add_argument("--keep", action="store_true", help="keep logs also where nothing broke")
    chosen = parser.parse_args(arguments)
    seeds = range(chosen.first, chosen.first + chosen.seeds)
    with worker_processes(chosen.jobs) as pool:
        broken = list(pool.map(partial(run_seed, chosen=chosen), seeds))
    print(f"{len(broken)} seeds, {sum(broken)} with breaches")
    return 1 if any(broken) else 0


def run_seed(seed, chosen) -> bool:
    """Run one seed, print its line, and return whether anything broke."""
    folder = _free_folder(seed)
    kinds = [KeyEventKind[each.upper()] for each in chosen.kinds]
    drawn = draw_key_plan(Random(seed), chosen.seconds, kinds)
    left_out = [KeyEventKind[each.upper()] for each in chosen.without]
    plan = [each for each in drawn if each.kind not in left_out]
    world = asyncio.run(soak(seed, folder, chosen, plan))
    history = world.history
    violations = [*check_owner(history), *check_key_requests(history)]
    passed = excused(history)
    found = Counter(each.checker for each in violations)
    verdict = ", ".join(f"{count} {kind}" for kind, count in found.items()) or "nothing broke"
    events = Counter(event.kind for life in history.lives for event in life.events)
    answers = " ".join(f"{status}:{n}" for status, n in sorted(world.statuses.items()))
    planned = Counter(each.kind.name.lower() for each in plan)
    leader = world.store.leader()
    lines = [
        f"seed {seed}: {verdict}; {len(passed)} excused; {dict(events)}, epoch"
        f" {leader.epoch if leader else 0} era {world.store.era}, answers {answers}, soak late by"
        f" {world.most_lag_s:.2f} s at most; planned {dict(planned)}"
    ]
    lines += [f"  {each}" for each in violations[:MAX_SHOWN]]
    lines += [f"  excused: {each}" for each in passed[:2]]
    print("\n".join(lines), flush=True)
    if not violations and not chosen.keep:
        shutil.rmtree(folder)
        return False
    (folder / "violations").write_text(
        "\n".join((*map(str, violations), *(f"excused: {each}" for each in passed))) + "\n"
    )
    (folder / "plan").write_text("\n".join(map(str, plan)) + "\n")
    (folder / "healed").write_text("\n".join(map(str, history.healed)) + "\n")
    return bool(violations)


async def soak(seed, folder, chosen, plan) -> KeySoakWorld:
    """Run one seed."""
    world = KeySoakWorld(
        seed,
        folder,
        chosen.gateways,
        chosen.servers,
        hold_max_s=chosen.hold_max,
        callers=chosen.callers,
        forgets_release_tokens=chosen.forget_releases,
        repeats_refusals=chosen.repeat_refusals,
    )
    await world.run(plan, chosen.seconds)
    return world


def _free_folder(seed) -> Path:
    """Return a folder that holds no logs of an earlier run of this seed, which broke something."""
    numbers = (str(seed) if number == 1 else f"{seed}-{number}" for number in count(1))
    return next(LOGS / name for name in numbers if not (LOGS / name).exists())
