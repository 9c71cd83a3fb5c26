"""Ports that stay a soak's own while its processes come and go."""

import socket

from indigoworks_lab.launcher.free_ports import LOOPBACK


class HeldPorts:
    """Ports of the kernel's choice, each held by a bound socket that does not listen.

    A process that allows the re-use of addresses can bind and listen beside it; nobody else is
    given the port meanwhile.
    """

    def __init__(self) -> None:
        self._sockets = []

    def next_port(self) -> int:
        held = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        held.bind((LOOPBACK, 0))
        self._sockets.append(held)
        return held.getsockname()[1]

    def close(self) -> None:
        for held in self._sockets:
            held.close()
