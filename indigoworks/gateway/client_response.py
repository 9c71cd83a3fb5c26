"""What a caller gets."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClientResponse:
    """Status, headers without those of one connection, whole body."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
