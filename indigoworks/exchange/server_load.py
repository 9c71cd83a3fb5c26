"""Load that a gateway puts on a server."""

import zlib
from dataclasses import dataclass
from functools import lru_cache


@lru_cache(maxsize=4096)
def server_checksum(server_id: str) -> int:
    """Return the 32-bit checksum that identifies a server in reports, which keeps them small.

    Traffic between zones is expensive. If two ids collide, only their loads are mixed up.
    """
    return zlib.crc32(server_id.encode())


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Requests in flight from one gateway, and the service time that it measured.

    :ivar server: checksum of the server's id.
    :ivar service_s: mean time of a request in seconds; 0: unknown.
    """

    server: int
    in_flight: int
    service_s: float
