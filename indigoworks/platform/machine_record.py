"""An entry of the platform's list of machines."""

from dataclasses import dataclass


@dataclass(frozen=True)
class MachineRecord:
    """One process that the platform lists as running; the list may be out of date.

    :ivar role: "controller", "router" or "server".
    :ivar service: service of a server; empty for other roles.
    :ivar host: IP address.
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
