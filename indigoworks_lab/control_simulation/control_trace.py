"""Prints what the nodes of a run log, and the orders that servers take."""

import asyncio
from typing import Any

import eliot
from detangle._context import current_host

from indigoworks_lab.control_simulation.control_plan import ControlPlan
from indigoworks_lab.control_simulation.control_report import ControlReport
from indigoworks_lab.control_simulation.run_control_seed import run_control_seed

HIDDEN = frozenset({"task_uuid", "task_level", "timestamp", "message_type", "level"})


def trace_seed(seed: int, plan: ControlPlan | None = None) -> ControlReport:
    """Run a seed and print its log."""
    eliot.add_destinations(_print)
    try:
        return run_control_seed(seed, plan)
    finally:
        eliot.remove_destination(_print)


def _print(message: dict[str, Any]) -> None:
    try:
        now_s = asyncio.get_running_loop().time()
    except RuntimeError:
        return
    fields = " ".join(f"{name}={value}" for name, value in message.items() if name not in HIDDEN)
    print(f"{now_s:8.3f} {current_host.get()} {message.get('message_type')} {fields}")
