"""Prepares the process for the memory of its machine."""

from indigoworks.common.byte_budget import PROCESS_BUDGET
from indigoworks.common.large_blocks import map_large_blocks


def limit_memory(memory_mb: float) -> None:
    """Set the budget of buffered bytes, and how large blocks are allocated.

    :param memory_mb: memory of the machine, in MB.
    """
    map_large_blocks()
    PROCESS_BUDGET.set_memory(memory_mb)
