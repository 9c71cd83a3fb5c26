"""A process started by the lab."""

import asyncio
import signal
import subprocess
from collections.abc import Sequence
from pathlib import Path

from result import Err, Ok, Result

from indigoworks_lab.launcher.launcher_errors import ProcessDidNotStop
from indigoworks_lab.launcher.parent_death import end_with_parent


class ManagedProcess:
    """One child process; its output goes to `log_path`. Signals go to its pid only."""

    def __init__(self, name: str, command: Sequence[str], log_path: Path) -> None:
        self.name = name
        self.log_path = log_path
        with log_path.open("ab") as log:
            self._process = subprocess.Popen(
                list(command),
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                preexec_fn=end_with_parent,
            )

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process.pid

    def exit_code(self) -> int | None:
        """Return the exit code, negative for the signal that ended it; None while it runs."""
        return self._process.poll()

    def terminate(self) -> None:
        """Ask for a planned stop (SIGTERM)."""
        self._send(signal.SIGTERM)

    def kill(self) -> None:
        """End it at once (SIGKILL)."""
        self._send(signal.SIGKILL)

    def hang_up(self) -> None:
        """Say that its settings have changed (SIGHUP)."""
        self._send(signal.SIGHUP)

    def freeze(self) -> None:
        """Stop its execution (SIGSTOP)."""
        self._send(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a frozen process go on (SIGCONT)."""
        self._send(signal.SIGCONT)

    async def wait(self, timeout_s: float) -> Result[int, ProcessDidNotStop]:
        """Wait until the process has ended, at most `timeout_s` seconds.

        :returns: its exit code.
        """
        try:
            return Ok(await asyncio.to_thread(self._process.wait, timeout_s))
        except subprocess.TimeoutExpired:
            return Err(
                ProcessDidNotStop(
                    f"{self.name} (pid {self.pid}) still runs after {timeout_s} s.",
                    f"See {self.log_path}.",
                )
            )

    def end(self) -> None:
        """Kill the process where it still runs, and reap it."""
        if self.exit_code() is None:
            self._process.kill()
        self._process.wait()

    def log_text(self) -> str:
        """Return all of its output so far."""
        return self.log_path.read_text(errors="replace")

    def _send(self, signal_number: signal.Signals) -> None:
        # poll() inside send_signal keeps a pid that was reaped from being signalled.
        self._process.send_signal(signal_number)
