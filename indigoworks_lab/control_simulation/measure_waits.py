"""Prints for how long keys had no server after the loss of a leader, alone or with others."""

import asyncio
from collections.abc import Sequence
from concurrent.futures import as_completed
from dataclasses import dataclass

import fire

from indigoworks.ownership.ownership_table import KEY_COUNT
from indigoworks_lab.control_simulation.control_deployment import ControlDeployment
from indigoworks_lab.control_simulation.control_plan import HOLD_MAX_S
from indigoworks_lab.control_simulation.request_load import RequestLoad
from indigoworks_lab.control_simulation.run_control_seed import MAX_STEPS, make_control_loop
from indigoworks_lab.control_simulation.run_outside import run_outside
from indigoworks_lab.control_simulation.wait_losses import WAIT_CASES, ZONES, WaitLosses
from indigoworks_lab.control_simulation.wait_meter import KeyWait, WaitMeter
from indigoworks_lab.simulation.core.disposal import dispose, silent_disposal
from indigoworks_lab.simulation.worker_processes import worker_processes

START_S = 8.0
WATCH_S = 45.0
PERCENTILE = 0.9
LONG_WAIT_S = 1.0
"""Shorter waits are told apart: each move of a range for load makes keys wait for a moment."""


@dataclass(frozen=True)
class WaitRun:
    """What one run showed.

    :ivar findings: rules that were broken.
    """

    case: str
    seed: int
    waits: tuple[KeyWait, ...]
    findings: tuple[str, ...]


def measure(case: str, seed: int, nodes: int, servers: int, requests_per_s: float) -> WaitRun:
    """Run one seed of one case."""
    loop = make_control_loop(seed, MAX_STEPS)
    with silent_disposal():
        deployment = ControlDeployment(loop, seed, nodes, servers, HOLD_MAX_S, ZONES)
        meter = WaitMeter(deployment)
        play = _play(deployment, meter, case, requests_per_s)
        loop.run_until_complete(loop.create_task(play))
        dispose(loop)
    findings = tuple(str(each) for each in deployment.audit.violations.found)
    return WaitRun(case, seed, tuple(meter.waits()), findings)


async def _play(
    deployment: ControlDeployment, meter: WaitMeter, case: str, requests_per_s: float
) -> None:
    deployment.start()
    run_outside(deployment.loop, RequestLoad(deployment, requests_per_s).run())
    await asyncio.sleep(START_S)
    losses = WaitLosses(deployment, meter)
    watching = run_outside(deployment.loop, meter.run(WATCH_S))
    await WAIT_CASES[case](losses)
    await watching


def measure_waits(
    cases: str = "",
    seeds: int = 10,
    first: int = 1,
    nodes: int = 9,
    servers: int = 12,
    requests: float = 10.0,
    jobs: int = 2,
) -> None:
    """Print the table: seconds without a server of keys that had none for a time.

    "held": no server that a remaining node reaches held the key. "served": some remaining node did
    not send its requests to such a server. Each with the share of keys without one for more than
    LONG_WAIT_S altogether, median, 90th percentile and maximum of their times, and the seconds of
    all keys by their number.

    :param cases: names with commas between them; empty: all.
    :param requests: requests a second.
    """
    names = cases.split(",") if cases else list(WAIT_CASES)
    runs: dict[str, list[WaitRun]] = {name: [] for name in names}
    with worker_processes(jobs) as workers:
        running = [
            workers.submit(measure, name, seed, nodes, servers, requests)
            for name in names
            for seed in range(first, first + seeds)
        ]
        for done in as_completed(running):
            run: WaitRun = done.result()
            runs[run.case].append(run)
            for finding in run.findings:
                print(f"{run.case} seed {run.seed}: {finding}", flush=True)
    print(f"{nodes} nodes, {servers} servers, {ZONES} zones, seeds {first}-{first + seeds - 1}")
    print("| case | held: share; median, 90 %, max s; s per key | served: the same | findings |")
    print("| --- | --- | --- | --- |")
    for name in names:
        print(_row(name, runs[name]))


def _row(name: str, runs: Sequence[WaitRun]) -> str:
    waits = [each for run in runs for each in run.waits]
    held = _summary([(each.unheld_s, each.keys) for each in waits], len(runs))
    served = _summary([(each.unserved_s, each.keys) for each in waits], len(runs))
    return f"| {name} | {held} | {served} | {sum(bool(run.findings) for run in runs)} |"


def _summary(times_s: Sequence[tuple[float, int]], runs: int) -> str:
    """Return percentiles over the keys that waited, and the mean over all keys."""
    mean_s = sum(time_s * keys for time_s, keys in times_s) / (KEY_COUNT * runs)
    waited = sorted(each for each in times_s if each[0] > LONG_WAIT_S)
    if not waited:
        return f"0 %; -, -, -; {mean_s:.3f}"
    share = sum(keys for _, keys in waited) / (KEY_COUNT * runs)
    middle_s, high_s = _percentile(waited, 0.5), _percentile(waited, PERCENTILE)
    longest_s = waited[-1][0]
    return f"{share:.1%}; {middle_s:.2f}, {high_s:.2f}, {longest_s:.2f}; {mean_s:.3f}"


def _percentile(waited: Sequence[tuple[float, int]], share: float) -> float:
    """Return the time that `share` of the keys did not exceed."""
    left = share * sum(keys for _, keys in waited)
    for time_s, keys in waited:
        left -= keys
        if left <= 0:
            return time_s
    return waited[-1][0]


def main() -> None:
    """Run from the command line."""
    fire.Fire(measure_waits, name="measure-waits")


if __name__ == "__main__":
    main()
