"""The script of a scenario: what its last step runs under the simulator."""

from collections.abc import Callable
from typing import Any

from control_log_cluster import Step


def script(context: Any) -> Callable[[Step], None]:
    """Return a decorator that appends an asynchronous step to the scenario's script."""
    append: Callable[[Step], None] = context.script.append
    return append
