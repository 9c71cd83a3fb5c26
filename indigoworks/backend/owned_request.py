"""Request to the owner of its key."""

from dataclasses import dataclass


@dataclass(frozen=True)
class OwnedRequest:
    """A caller's request, with the grant under which it is sent.

    :ivar headers: end-to-end headers only, as (name, value).
    :ivar remaining_s: seconds left until the deadline, which are sent to the server.
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

    def with_remaining(self, remaining_s: float) -> "OwnedRequest":
        """Return a copy with another remaining time; cheaper than `dataclasses.replace`."""
        return OwnedRequest(
            self.request_id,
            self.service,
            self.key,
            self.group,
            self.method,
            self.path,
            self.headers,
            self.body,
            self.range_start,
            self.range_end,
            self.token,
            self.server_incarnation,
            remaining_s,
        )
