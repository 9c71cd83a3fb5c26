"""Choice of free TCP ports on loopback."""

import socket
from random import Random

FIRST_PORT = 12_000
LAST_PORT = 31_999
"""Below the ephemeral ports, so that no outgoing connection takes a port before its process."""

LOOPBACK = "127.0.0.1"


class FreePorts:
    """Hands out ports that were free on loopback when asked, none of them twice."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._taken: set[int] = set()

    def next_port(self) -> int:
        """Return a port that nothing listens on now."""
        while True:
            port = self._random.randint(FIRST_PORT, LAST_PORT)
            if port not in self._taken and _is_free(port):
                self._taken.add(port)
                return port


def _is_free(port: int) -> bool:
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
