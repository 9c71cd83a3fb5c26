"""One run of a request at a server."""

from dataclasses import dataclass


@dataclass(frozen=True)
class MachineRun:
    """A server began to run a request at `began_s`; `life` numbers the lives of its machine."""

    began_s: float
    target: str
    caller: str
    server_id: str
    life: int
