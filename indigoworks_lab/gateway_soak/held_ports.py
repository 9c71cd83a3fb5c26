"""Ports that stay a soak's own while its processes come and go."""

import socket

from indigoworks_lab.launcher.free_ports import LOOPBACK


class HeldPorts:
    """Ports of the kernel's choice, each held by a bound socket that does not listen.

    A process that allows the re-use of addresses can bind and listen beside it; nobody else is
    given the port meanwhile.
    """

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []

    def next_port(self) -> int:
        """Return a port that is held from now on."""
        held = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        held.bind((LOOPBACK, 0))
        self._sockets.append(held)
        port: int = held.getsockname()[1]
        return port

    def close(self) -> None:
        """Give all ports back."""
        for held in self._sockets:
            held.close()
