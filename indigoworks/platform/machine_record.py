"""An entry of the platform's list of machines."""

from dataclasses import dataclass


@dataclass(frozen=True)
class MachineRecord:
    """One process that the platform believes to be there. The list lags: a hint, no authority.

    :ivar role: "controller", "router" or "server".
    :ivar service: service of a server; empty for other roles.
    :ivar host: IP number.
    :ivar port: port of the control protocol; for a server its HTTP port.
    :ivar is_leaving: the platform plans to stop it.
    """

    name: str
    role: str
    service: str
    zone: str
    host: str
    port: int
    is_leaving: bool = False
