"""One run of a request at a server."""

from dataclasses import dataclass


@dataclass(frozen=True)
class MachineRun:
    """A server began to run a request at `began_s`.

    :ivar gateway: the node that sent it.
    :ivar life: numbers the lives of the machine.
    """

    began_s: float
    target: str
    caller: str
    gateway: str
    server_id: str
    life: int
