"""A whole HTTP answer of the platform."""

from dataclasses import dataclass


@dataclass(frozen=True)
class PlatformResponse:
    """Status and whole body of an answer that an adapter has to interpret."""

    status: int
    body: bytes
