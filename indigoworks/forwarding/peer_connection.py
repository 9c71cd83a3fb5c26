"""A connection to another gateway whose loss is noticed while it is idle."""

import contextlib
import socket

from indigoworks.common.address import Address
from indigoworks.gateway.server_connection import ServerConnection

PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBE_COUNT = 2
"""An idle connection is probed after 1 s, the least that the kernel offers, and closed after two
probes without an answer."""

UNACKNOWLEDGED_MS = 1500
"""Time after which a connection is closed whose peer's kernel acknowledges nothing sent on it. A
process that only stands still does not cause this: its kernel acknowledges what arrives."""

_OPTIONS = (
    ("TCP_KEEPIDLE", PROBE_IDLE_S),
    ("TCP_KEEPINTVL", PROBE_INTERVAL_S),
    ("TCP_KEEPCNT", PROBE_COUNT),
    ("TCP_USER_TIMEOUT", UNACKNOWLEDGED_MS),
)


class PeerConnection(ServerConnection):
    """Lets the kernel probe the connection and give up on a path that is gone."""

    def __init__(self, address: Address, id_header: str) -> None:
        super().__init__(address, id_header)
        connected = self._stream.socket
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for name, value in _OPTIONS:
            # Systems other than Linux lack some of them.
            with contextlib.suppress(AttributeError, OSError):
                connected.setsockopt(socket.IPPROTO_TCP, getattr(socket, name), value)
