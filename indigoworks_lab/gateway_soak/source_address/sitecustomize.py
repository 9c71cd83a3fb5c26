"""Python loads this at its start where its folder is on the path: connections of the process come
from the loopback address that the environment names, so that others can tell who it is."""

import os
import socket
from typing import Any

IP_BIND_ADDRESS_NO_PORT = 24
VARIABLE = "SOAK_SOURCE_ADDRESS"

_connect = socket.socket.connect


def _connect_from(self: socket.socket, address: Any) -> None:
    is_tcp = self.family == socket.AF_INET and self.type == socket.SOCK_STREAM
    if is_tcp and self.getsockname()[0] == "0.0.0.0":
        self.setsockopt(socket.IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1)
        self.bind((os.environ[VARIABLE], 0))
    _connect(self, address)


if VARIABLE in os.environ:
    socket.socket.connect = _connect_from  # type: ignore[method-assign, assignment]
