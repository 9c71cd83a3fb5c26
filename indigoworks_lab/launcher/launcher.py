"""Starts processes and always ends them."""

import sys
from collections.abc import Sequence
from pathlib import Path
from types import TracebackType
from typing import Self

from indigoworks_lab.launcher.managed_process import ManagedProcess


class Launcher:
    """Starts commands of this environment; leaving its context ends what still runs.

    :param log_directory: gets one file `<name>.log` for each process.
    """

    def __init__(self, log_directory: Path) -> None:
        self.log_directory = log_directory
        self.processes: dict[str, ManagedProcess] = {}
        log_directory.mkdir(parents=True, exist_ok=True)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.end_all()

    def start(self, name: str, program: str, arguments: Sequence[str]) -> ManagedProcess:
        """Start `program` (a command installed in this environment) under the name `name`."""
        command = self.command(name, program, arguments)
        log_path = self.log_directory / f"{name}.log"
        if name not in self.processes:
            log_path.unlink(missing_ok=True)  # left by an earlier run of the launcher
        process = ManagedProcess(name, command, log_path)
        self.processes[name] = process
        return process

    def command(self, name: str, program: str, arguments: Sequence[str]) -> list[str]:
        """Return the command line of a process; a kind of launcher may put another one around."""
        return [str(Path(sys.executable).parent / program), *arguments]

    def end_all(self) -> None:
        """Kill and reap every process that still runs."""
        for process in self.processes.values():
            process.end()
