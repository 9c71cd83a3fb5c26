"""A request as sent to the owner of its key."""

from dataclasses import dataclass


@dataclass(frozen=True)
class OwnedRequest:
    """A caller's request with the grant it is sent under.

    :ivar headers: end-to-end headers only, as (name, value).
    :ivar remaining_s: seconds left until the deadline; travels to the server.
    """

    request_id: str
    service: str
    key: bytes
    group: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    range_start: int
    range_end: int
    token: int
    server_incarnation: str
    remaining_s: float
