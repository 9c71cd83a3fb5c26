"""Plain consistent hashing."""

from bisect import bisect_left
from collections.abc import Iterable

import xxhash

POINTS_PER_SERVER = 100


class ConsistentRing:
    """A ring of hash points; a key belongs to the server of the next point.

    :ivar servers: names of the servers on it.
    """

    def __init__(self, servers: Iterable[str]) -> None:
        self.servers = tuple(servers)
        points = [
            (xxhash.xxh64_intdigest(f"{name}\0{number}".encode()), name)
            for name in self.servers
            for number in range(POINTS_PER_SERVER)
        ]
        points.sort()
        self._places = [place for place, _ in points]
        self._names = [name for _, name in points]

    def owners(self, place: int, count: int) -> list[str]:
        """Return the first `count` different servers from `place` on; fewer where there are not.

        :param place: place of a key in the 64-bit space.
        """
        found: list[str] = []
        first = bisect_left(self._places, place)
        for step in range(len(self._names)):
            name = self._names[(first + step) % len(self._names)]
            if name not in found:
                found.append(name)
                if len(found) == count:
                    break
        return found
