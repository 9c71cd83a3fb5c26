"""Ties the life of a started process to the launcher's."""

import ctypes
import signal

_PR_SET_PDEATHSIG = 1
_LIBC = ctypes.CDLL(None, use_errno=True)


def end_with_parent() -> None:
    """Ask the kernel to kill this process when its parent ends; runs between fork and exec.

    A launcher that is killed can run no clean-up of its own.
    """
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)
