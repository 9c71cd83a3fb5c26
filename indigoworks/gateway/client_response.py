"""The final response to a caller."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClientResponse:
    """Status, end-to-end headers and complete body."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
