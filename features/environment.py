"""Hooks of behave: fixed randomness and one event loop a scenario."""

import asyncio
import random
import zlib
from collections.abc import Coroutine
from typing import Any

from hypothesis import settings as hypothesis_settings

# Steps are loaded after this file: every property test takes the same examples in each run.
hypothesis_settings.register_profile("replayable", derandomize=True, database=None, deadline=None)
hypothesis_settings.load_profile("replayable")

STEP_TIMEOUT_S = 60.0
"""Bound on one call of `context.run_async`; it ends a hung step and measures nothing."""


class ScenarioLoop:
    """Runs coroutines of one scenario on one event loop, so that tasks live on between steps."""

    def __init__(self) -> None:
        self._runner = asyncio.Runner()

    def run(self, work: Coroutine[Any, Any, Any], timeout_s: float = STEP_TIMEOUT_S) -> Any:
        """Run `work` to its end and return what it returns.

        :raises TimeoutError: `work` did not end within `timeout_s` seconds.
        """
        return self._runner.run(asyncio.wait_for(work, timeout_s))

    def close(self) -> None:
        """Cancel the tasks that are left and close the loop."""
        self._runner.close()


def before_scenario(context: Any, scenario: Any) -> None:
    """Give the scenario its seed, its random source and `context.run_async`.

    The seed depends on the scenario's name alone, never on the order of the run.
    """
    context.seed = zlib.crc32(scenario.name.encode())
    context.random = random.Random(context.seed)
    random.seed(context.seed)
    loop = ScenarioLoop()
    context.run_async = loop.run
    context.add_cleanup(loop.close)
