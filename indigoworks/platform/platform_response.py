"""A whole HTTP response of the platform."""

from dataclasses import dataclass


@dataclass(frozen=True)
class PlatformResponse:
    """Status and whole body of a response, which an adapter interprets."""

    status: int
    body: bytes
