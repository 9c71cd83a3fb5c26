"""A launcher whose routers can be profiled."""

import sys
from collections.abc import Sequence
from pathlib import Path

from indigoworks_lab.launcher.deployment import PRODUCT
from indigoworks_lab.launcher.launcher import Launcher
from indigoworks_lab.load import profiled_router

ROUTER_COMMAND = "router"


class ProfilingLauncher(Launcher):
    """Starts routers with a profiler, and everything else as it is.

    :param checkout: directory whose package `indigoworks` is run as the product; None: this one.
    """

    def __init__(self, log_directory: Path, checkout: Path | None = None) -> None:
        super().__init__(log_directory)
        self._checkout = checkout

    def profile_file(self, name: str) -> Path:
        """Return where the router of that name writes its profile."""
        return self.log_directory / f"{name}.profile"

    def command(self, name: str, program: str, arguments: Sequence[str]) -> list[str]:
        """Return the command line."""
        command = super().command(name, program, arguments)
        if program != PRODUCT:
            return command
        if arguments[0] == ROUTER_COMMAND:
            # The file and not the module: an older checkout may not have it.
            profiler = [sys.executable, "-P", profiled_router.__file__]
            command = [*profiler, str(self.profile_file(name)), *arguments]
        if self._checkout is None:
            return command
        return ["env", f"PYTHONPATH={self._checkout.resolve()}", *command]
