"""Processor time and memory of a process, as the kernel counts them."""

import os
from dataclasses import dataclass
from pathlib import Path

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_USER_TICKS_FIELD = 11
_SYSTEM_TICKS_FIELD = 12
"""Positions of utime and stime after the command name in /proc/PID/stat."""


@dataclass(frozen=True)
class ProcessUsage:
    """A reading.

    :ivar processor_s: user and system time since the start of the process.
    :ivar resident_bytes: memory held.
    """

    processor_s: float
    resident_bytes: int


def read_usage(pid: int) -> ProcessUsage:
    """Read the usage of a running process.

    :raises OSError: there is no such process.
    """
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[_USER_TICKS_FIELD]) + int(fields[_SYSTEM_TICKS_FIELD])
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return ProcessUsage(ticks / _TICKS_PER_S, pages * _PAGE_BYTES)
