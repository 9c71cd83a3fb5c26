"""The scale run as a whole."""

import asyncio
import json
import platform
import signal
from pathlib import Path

from indigoworks_lab.launcher.launcher import Launcher
from indigoworks_lab.scale.point_result import PointResult
from indigoworks_lab.scale.point_run import PointRun
from indigoworks_lab.scale.scale_deployment import ScaleDeployment
from indigoworks_lab.scale.scale_plan import ScalePlan
from indigoworks_lab.scale.scale_plots import write_plots
from indigoworks_lab.scale.scale_point import ScalePoint
from indigoworks_lab.scale.scale_report import report_lines

POINT_TIME_LIMIT_S = 80.0


def run_scale(plan: ScalePlan, output: Path) -> int:
    """Measure all points, write the results into `output` and print them.

    :returns: exit code: 0 where at least one point was measured to its end.
    """
    output.mkdir(parents=True, exist_ok=True)
    return asyncio.run(_run(plan, output))


async def _run(plan: ScalePlan, output: Path) -> int:
    _cancel_on_sigterm()
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    results: list[PointResult] = []
    for point in plan.points:
        elapsed_s = loop.time() - started_s
        if elapsed_s > plan.time_limit_s:
            print(f"{point.label} is left out: {elapsed_s:.0f} s are over", flush=True)
            continue
        print(f"[{elapsed_s:5.0f} s] {point.label}", flush=True)
        results.append(await _measure(point, plan, output))
        _write_results(results, output)
    write_plots(results, output)
    for line in report_lines(results):
        print(line)
    print(f"{loop.time() - started_s:.0f} s in all; results and plots are in {output}")
    return 0 if any(not result.stopped for result in results) else 1


async def _measure(point: ScalePoint, plan: ScalePlan, output: Path) -> PointResult:
    with Launcher(output / "logs" / point.label) as launcher:
        run = PointRun(ScaleDeployment(point, launcher), plan)
        try:
            async with asyncio.timeout(POINT_TIME_LIMIT_S):
                await run.run()
        except TimeoutError:
            run.result.stopped = f"not done within {POINT_TIME_LIMIT_S} s"
    if run.result.stopped:
        print(f"  ended early: {run.result.stopped}", flush=True)
    return run.result


def _write_results(results: list[PointResult], output: Path) -> None:
    content = {
        "python": platform.python_version(),
        "machine": platform.machine(),
        "points": [result.to_json() for result in results],
    }
    (output / "scale.json").write_text(json.dumps(content, indent=2))


def _cancel_on_sigterm() -> None:
    # Cancelling unwinds through the launcher's context, which ends all processes.
    task = asyncio.current_task()
    if task is not None:
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
