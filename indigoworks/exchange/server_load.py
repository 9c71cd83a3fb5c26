"""Load that one gateway puts on one server."""

import zlib
from dataclasses import dataclass
from functools import lru_cache


@lru_cache(maxsize=4096)
def server_checksum(server_id: str) -> int:
    """Return the 32 bits that stand for a server's id in reports: bytes between zones are dear.

    Two ids that share them would only blur each other's load.
    """
    return zlib.crc32(server_id.encode())


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Requests in flight from one gateway and the time one takes as it measured it; 0: unknown.

    :ivar server: checksum of its id.
    """

    server: int
    in_flight: int
    service_s: float
