"""Runs a process with the settings from its flags."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from result import Err, Result

from indigoworks.cli.pending_command import Report
from indigoworks.cli.process_flags import ProcessFlags
from indigoworks.common.errors import IndigoworksError
from indigoworks.common.logging import set_up_logging
from indigoworks.settings.load_process_settings import ProcessSettingsT

Serve = Callable[[ProcessSettingsT, Random], Awaitable[Result[Report, IndigoworksError]]]
"""Runs a process with the given settings and random number generator until it ends."""


def run_with_settings(
    flags: ProcessFlags, model: type[ProcessSettingsT], serve: Serve[ProcessSettingsT]
) -> Result[Report, IndigoworksError]:
    """Load the settings, set up the log and run `serve` to its end."""
    settings = flags.load(model)
    if isinstance(settings, Err):
        return settings
    random = flags.random()
    if isinstance(random, Err):
        return random
    return asyncio.run(_run(settings.unwrap(), random.unwrap(), serve))


async def _run(
    settings: ProcessSettingsT, random: Random, serve: Serve[ProcessSettingsT]
) -> Result[Report, IndigoworksError]:
    set_up_logging(settings.log_level, settings.name)
    return await serve(settings, random)
