"""Sample of the keys of requests."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class KeySample:
    """Sampled keys of one service since the last report.

    :ivar total: number of requests of the service in that time; `keys` may hold fewer.
    """

    service: str
    keys: tuple[int, ...]
    total: int
