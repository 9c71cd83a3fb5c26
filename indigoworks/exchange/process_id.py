"""Identity of one run of a gateway."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class ProcessId:
    """Node and boot of a process: one run of a node."""

    node: str
    boot: str
