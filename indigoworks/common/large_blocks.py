"""How the C library allocates large blocks of memory."""

import ctypes
import sys

LARGE_BLOCK_BYTES = 1024 * 1024

_M_MMAP_THRESHOLD = -3


def map_large_blocks() -> None:
    """Let each large block be a mapping of its own: it grows without a copy, and its memory goes
    back to the system when it is freed.

    By default glibc raises this threshold to the largest block freed so far, 32 MiB at most. Bodies
    that grow side by side then leave holes in the heap: a budget of 56 MiB took 100 MB.
    """
    if not sys.platform.startswith("linux"):
        return
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(_M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
