"""Complete response of a back end."""

from dataclasses import dataclass


@dataclass(frozen=True)
class BackendResponse:
    """Status, end-to-end headers and complete body of a response.

    :ivar is_wrong_owner: the server does not own the key under the token and did not run the
        request (421).
    :ivar is_shed: the server rejected the request for overload and did not run it (503 marked as
        shed).
    :ivar retry_after_s: seconds after which a shedding server accepts a retry.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    is_wrong_owner: bool = False
    is_shed: bool = False
    retry_after_s: float = 0.0
