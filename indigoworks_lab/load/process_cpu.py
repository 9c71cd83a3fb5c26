"""Processor time of a process of this machine."""

import os
from pathlib import Path

USER_TIME_FIELD = 11
SYSTEM_TIME_FIELD = 12
"""Places in /proc/PID/stat after the closing bracket of the program's name."""


def process_cpu_s(pid: int) -> float:
    """Return the user and system time of process `pid` so far, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[USER_TIME_FIELD]) + int(fields[SYSTEM_TIME_FIELD])
    return ticks / os.sysconf("SC_CLK_TCK")
