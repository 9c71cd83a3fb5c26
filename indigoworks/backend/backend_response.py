"""A whole answer of a back end."""

from dataclasses import dataclass


@dataclass(frozen=True)
class BackendResponse:
    """Status, end-to-end headers and whole body of an answer.

    :ivar is_wrong_owner: the server does not own the key under the token; it ran nothing (421).
    :ivar is_shed: the server declined for load; it ran nothing (503 marked as shed).
    :ivar retry_after_s: seconds after which a shedding server wants to be asked again.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    is_wrong_owner: bool = False
    is_shed: bool = False
    retry_after_s: float = 0.0
