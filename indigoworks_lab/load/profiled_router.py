"""Runs `indigoworks` with a profiler.

python -m indigoworks_lab.load.profiled_router FILE ARGUMENTS

Profiling more than doubles the processor time: it tells shares, not costs.
"""

import cProfile
import os
import signal
import sys

from indigoworks.cli.main import main

START_SIGNAL = signal.SIGUSR1
"""Starts a new profile."""

END_SIGNAL = signal.SIGUSR2
"""Ends the profile and writes it."""


class SignalledProfiler:
    """Profiles this process between two signals."""

    def __init__(self, file: str) -> None:
        self._file = file
        self._profile = cProfile.Profile()

    def listen(self) -> None:
        """Act on the signals from now on."""
        signal.signal(START_SIGNAL, self._start)
        signal.signal(END_SIGNAL, self._end)

    def _start(self, signal_number: int, frame: object) -> None:
        self._profile = cProfile.Profile()
        self._profile.enable()

    def _end(self, signal_number: int, frame: object) -> None:
        self._profile.disable()
        unfinished = f"{self._file}.unfinished"
        self._profile.dump_stats(unfinished)
        # Whoever waits for the file finds it whole or not at all.
        os.replace(unfinished, self._file)


def run_profiled(profile_file: str, arguments: list[str]) -> None:
    """Run the product's command line with `arguments`."""
    SignalledProfiler(profile_file).listen()
    sys.argv = ["indigoworks", *arguments]
    main()


if __name__ == "__main__":
    run_profiled(sys.argv[1], sys.argv[2:])
